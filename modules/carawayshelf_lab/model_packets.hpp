#pragma once

#include "carawayshelf_packets/packet_format.hpp"

#include <cstring>
#include <string>

namespace carawayshelf::lab
{

/** The model's packets: a head as it is in memory. How long a packet is on a link is stated in its
    head, so the model carries no data. */
class model_packets : public packet_format
{
public:
    /** Length of a packet's head on the links. */
    static constexpr std::size_t head_bytes = 31;

    struct layout
    {
        packet_head head;
        std::uint32_t server_number = 0; ///< Of the incarnation of the flow at a server.
        std::uint32_t request = 0;       ///< Number of the request in its flow.
        bool is_failure = false;         ///< In an answer: the server failed it.
        bool has_not_run = false;        ///< In an answer: the server rejected it.
        bool closes = false;             ///< In an answer: the server closes the flow.
    };

    static std::string encode(const layout& packet)
    {
        return {reinterpret_cast<const char*>(&packet), sizeof(packet)};
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
        packet.server_number = sequence;
        std::memcpy(buffer, static_cast<const void*>(&packet), sizeof(packet));
        return sizeof(packet);
    }
};

} // namespace carawayshelf::lab
