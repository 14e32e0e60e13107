#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace carawayshelf
{

/** An IPv4 address and port, both in host byte order. The value 0.0.0.0:0 stands for "none". */
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    bool is_none() const
    {
        return address == 0 && port == 0;
    }
};

inline bool operator==(const endpoint& a, const endpoint& b)
{
    return a.address == b.address && a.port == b.port;
}

inline bool operator!=(const endpoint& a, const endpoint& b)
{
    return !(a == b);
}

inline bool operator<(const endpoint& a, const endpoint& b)
{
    return a.address != b.address ? a.address < b.address : a.port < b.port;
}

/** Both in one number, as messages carry it. */
inline std::uint64_t pack_endpoint(const endpoint& value)
{
    return (static_cast<std::uint64_t>(value.address) << 16U) | value.port;
}

inline endpoint unpack_endpoint(std::uint64_t packed)
{
    return {static_cast<std::uint32_t>(packed >> 16U),
            static_cast<std::uint16_t>(packed & 0xFFFFU)};
}

/** Reads "a.b.c.d:port". Returns nothing when the text is anything else; port 0 is refused.
    Thread-safe. */
std::optional<endpoint> parse_endpoint(const std::string& text);

/** Reads "a.b.c.d" into host byte order. Returns nothing when the text is anything else. */
std::optional<std::uint32_t> parse_address(const std::string& text);

/** Writes "a.b.c.d:port". Thread-safe. */
std::string to_string(const endpoint& value);

/** Writes "a.b.c.d" for an address in host byte order. Thread-safe. */
std::string format_address(std::uint32_t address);

} // namespace carawayshelf

template <>
struct std::hash<carawayshelf::endpoint>
{
    std::size_t operator()(const carawayshelf::endpoint& value) const noexcept
    {
        return static_cast<std::size_t>(carawayshelf::pack_endpoint(value) * 0x9E3779B97F4A7C15ULL);
    }
};
