#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace carawayshelf
{

/** An IPv4 address and port, both in host byte order. The value 0.0.0.0:0 means "none". */
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

/** Packs address and port into one number, as messages carry it. Thread-safe. */
inline std::uint64_t pack_endpoint(const endpoint& value)
{
    return (static_cast<std::uint64_t>(value.address) << 16U) | value.port;
}

/** Reverses pack_endpoint(). Thread-safe. */
inline endpoint unpack_endpoint(std::uint64_t packed)
{
    return {static_cast<std::uint32_t>(packed >> 16U),
            static_cast<std::uint16_t>(packed & 0xFFFFU)};
}

/** Parses "a.b.c.d:port". Returns nothing if the text has another form or the port is 0.
    Thread-safe. */
std::optional<endpoint> parse_endpoint(const std::string& text);

/** Parses "a.b.c.d" into host byte order. Returns nothing if the text has another form.
    Thread-safe. */
std::optional<std::uint32_t> parse_address(const std::string& text);

/** Formats as "a.b.c.d:port". Thread-safe. */
std::string to_string(const endpoint& value);

/** Formats an address in host byte order as "a.b.c.d". Thread-safe. */
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
