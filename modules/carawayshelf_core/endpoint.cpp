#include "carawayshelf_core/endpoint.hpp"

#include <charconv>

namespace carawayshelf
{

namespace
{

constexpr unsigned max_octet = 255;
constexpr unsigned max_port = 65535;

/** Parses decimal digits at the start of the text and advances start past them. Returns nothing if
    there is no number or if it exceeds the limit. */
std::optional<unsigned> consume_number(const char*& start, const char* end, unsigned limit)
{
    unsigned value = 0;
    const std::from_chars_result result = std::from_chars(start, end, value);
    if (result.ec != std::errc() || value > limit)
    {
        return std::nullopt;
    }
    start = result.ptr;
    return value;
}

std::optional<std::uint32_t> consume_address(const char*& start, const char* end)
{
    std::uint32_t address = 0;
    for (int octet = 0; octet < 4; ++octet)
    {
        if (octet > 0)
        {
            if (start == end || *start != '.')
            {
                return std::nullopt;
            }
            ++start;
        }
        const std::optional<unsigned> value = consume_number(start, end, max_octet);
        if (!value)
        {
            return std::nullopt;
        }
        address = (address << 8U) | *value;
    }
    return address;
}

} // namespace

std::optional<std::uint32_t> parse_address(const std::string& text)
{
    const char* start = text.data();
    const char* const end = start + text.size();
    const std::optional<std::uint32_t> address = consume_address(start, end);
    return start == end ? address : std::nullopt;
}

std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const char* start = text.data();
    const char* const end = start + text.size();
    const std::optional<std::uint32_t> address = consume_address(start, end);
    if (!address || start == end || *start != ':')
    {
        return std::nullopt;
    }
    ++start;
    const std::optional<unsigned> port = consume_number(start, end, max_port);
    if (!port || *port == 0 || start != end)
    {
        return std::nullopt;
    }
    return endpoint{*address, static_cast<std::uint16_t>(*port)};
}

std::string format_address(std::uint32_t address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        text += std::to_string((address >> static_cast<unsigned>(shift)) & max_octet);
        if (shift > 0)
        {
            text += '.';
        }
    }
    return text;
}

std::string to_string(const endpoint& value)
{
    return format_address(value.address) + ":" + std::to_string(value.port);
}

} // namespace carawayshelf
