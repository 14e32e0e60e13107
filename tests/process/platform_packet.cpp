#include "platform_packet.hpp"

#include <cstddef>

namespace carawayshelf::process_tests
{

namespace
{

constexpr std::size_t header_bytes = 31;

void put(std::string& bytes, std::uint64_t value, int size)
{
    for (int i = 0; i < size; ++i)
    {
        bytes += static_cast<char>((value >> (8 * i)) & 0xFFU);
    }
}

std::uint32_t get(std::string_view bytes, std::size_t offset, std::size_t size)
{
    std::uint32_t value = 0;
    for (std::size_t i = size; i > 0; --i)
    {
        value = (value << 8U) | static_cast<std::uint8_t>(bytes[offset + i - 1]);
    }
    return value;
}

} // namespace

std::string encode_platform_packet(const platform_packet& packet)
{
    std::string bytes;
    put(bytes, packet.sequence, 4);
    put(bytes, packet.acknowledged, 4);
    put(bytes, packet.mark, 4);
    put(bytes, packet.data.size(), 2);
    put(bytes, packet.flags, 1);
    put(bytes, packet.destination.address, 4);
    put(bytes, packet.source.address, 4);
    put(bytes, packet.destination.port, 2);
    put(bytes, packet.source.port, 2);
    put(bytes, 1, 4);
    return bytes + packet.data;
}

bool decode_platform_packet(std::string_view bytes, platform_packet& packet)
{
    if (bytes.size() < header_bytes || get(bytes, 12, 2) != bytes.size() - header_bytes)
    {
        return false;
    }
    packet.sequence = get(bytes, 0, 4);
    packet.acknowledged = get(bytes, 4, 4);
    packet.mark = get(bytes, 8, 4);
    packet.flags = static_cast<std::uint8_t>(bytes[14]);
    packet.destination.address = get(bytes, 15, 4);
    packet.source.address = get(bytes, 19, 4);
    packet.destination.port = static_cast<std::uint16_t>(get(bytes, 23, 2));
    packet.source.port = static_cast<std::uint16_t>(get(bytes, 25, 2));
    packet.checksum = get(bytes, 27, 4);
    packet.data = std::string(bytes.substr(header_bytes));
    return true;
}

} // namespace carawayshelf::process_tests
