#pragma once

#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <string_view>

namespace carawayshelf
{

/** A packet of a client, in a buffer that may be modified. */
struct client_packet
{
    packet_header header;
    char* data = nullptr;
    std::size_t size = 0;

    std::string_view bytes() const
    {
        return {data, size};
    }

    packet_flow flow() const
    {
        return {header.source, header.destination};
    }
};

} // namespace carawayshelf
