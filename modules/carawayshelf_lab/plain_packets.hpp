#pragma once

#include "carawayshelf_packets/packet_format.hpp"

#include <cstring>
#include <string>

namespace carawayshelf::lab
{

/** A packet format for models and tests: a packet consists of the bytes of a structure in memory.

    @tparam Layout    trivially copyable, with a packet_header named header and any other members
    @tparam sequence  member that receives the sequence number of a reset */
template <typename Layout, std::uint32_t Layout::*sequence>
class plain_packets : public packet_format
{
public:
    using layout = Layout;

    static std::string encode(const layout& packet)
    {
        return {reinterpret_cast<const char*>(&packet), sizeof(packet)};
    }

    /** Precondition: the bytes are those of one packet. */
    static layout read(std::string_view bytes)
    {
        layout packet;
        std::memcpy(static_cast<void*>(&packet), bytes.data(), sizeof(packet));
        return packet;
    }

    bool decode(std::string_view bytes, packet_header& header) const override
    {
        if (bytes.size() != sizeof(layout))
        {
            return false;
        }
        header = read(bytes).header;
        return true;
    }

    void set_mark(char* bytes, std::uint32_t mark) const override
    {
        layout packet = read({bytes, sizeof(layout)});
        packet.header.mark = mark;
        packet.header.is_returned = false;
        std::memcpy(bytes, static_cast<const void*>(&packet), sizeof(packet));
    }

    std::size_t encode_reset(const packet_flow& flow, std::uint32_t reset_number,
                             std::uint8_t* buffer) const override
    {
        static_assert(sizeof(layout) <= max_reset_bytes, "a reset must fit");
        layout packet;
        packet.header.source = flow.service;
        packet.header.destination = flow.client;
        packet.header.is_reset = true;
        packet.*sequence = reset_number;
        std::memcpy(buffer, static_cast<const void*>(&packet), sizeof(packet));
        return sizeof(packet);
    }
};

} // namespace carawayshelf::lab
