#pragma once

#include "carawayshelf_packets/packet_format.hpp"

#include <cstring>
#include <string>

namespace carawayshelf::fakes
{

/** A packet format for tests: the head as it is in memory, and data behind it. */
class test_packets : public packet_format
{
public:
    struct layout
    {
        packet_head head;
        std::uint32_t sequence = 0; ///< What a server numbers its incarnations of a flow with.
        std::uint32_t content = 0;  ///< Must arrive as it was sent.
    };

    static std::string encode(const layout& packet)
    {
        return std::string(reinterpret_cast<const char*>(&packet), sizeof(packet));
    }

    static layout read(std::string_view bytes)
    {
        layout packet;
        std::memcpy(static_cast<void*>(&packet), bytes.data(), sizeof(packet));
        return packet;
    }

    bool decode(std::string_view bytes, packet_head& head) const override
    {
        if (bytes.size() != sizeof(layout))
        {
            return false;
        }
        head = read(bytes).head;
        return true;
    }

    void set_mark(char* bytes, std::uint32_t mark) const override
    {
        layout packet = read({bytes, sizeof(layout)});
        packet.head.mark = mark;
        packet.head.is_returned = false;
        std::memcpy(bytes, static_cast<const void*>(&packet), sizeof(packet));
    }

    std::size_t encode_reset(const packet_flow& flow, std::uint32_t sequence,
                             std::uint8_t* buffer) const override
    {
        static_assert(sizeof(layout) <= max_reset_bytes, "a reset must fit");
        layout packet;
        packet.head.source = flow.service;
        packet.head.destination = flow.client;
        packet.head.is_reset = true;
        packet.sequence = sequence;
        std::memcpy(buffer, static_cast<const void*>(&packet), sizeof(packet));
        return sizeof(packet);
    }
};

} // namespace carawayshelf::fakes
