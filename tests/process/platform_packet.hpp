#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayshelf::process_tests
{

inline constexpr std::uint8_t flag_reset = 2;
inline constexpr std::uint8_t flag_acknowledge = 4;
inline constexpr std::uint8_t flag_finish = 32;
inline constexpr std::uint8_t flag_open = 64;
inline constexpr std::uint8_t flag_returned = 128;

/** A packet as the platform's clients and backend servers write and read it. */
struct platform_packet
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t mark = 0;
    std::uint8_t flags = 0;
    endpoint source;
    endpoint destination;
    std::uint32_t checksum = 0; ///< Its value doesn't matter, but 0 marks a reset of the system.
    std::string data;

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

/** Writes a packet with a checksum that is not 0. */
std::string encode_platform_packet(const platform_packet& packet);

/** Reads a packet. Returns false if the bytes are not a complete packet. */
bool decode_platform_packet(std::string_view bytes, platform_packet& packet);

} // namespace carawayshelf::process_tests
