#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <string_view>

namespace carawayshelf
{

/** What the packet cores send through. Packets handed in stay valid until flush(), which the driver
    calls before it takes the next datagrams. */
class packet_port
{
public:
    virtual ~packet_port() = default;

    /** Sends an envelope with a packet, or with nothing, to an agent or a balancer. */
    virtual void send_envelope(const endpoint& to, const packet_envelope& envelope,
                               std::string_view packet) = 0;

    /** Sends a packet to a client. */
    virtual void send_to_client(std::uint32_t client_address, std::string_view packet) = 0;

    /** Sends a reset to a client. */
    virtual void send_reset(const packet_flow& flow, std::uint32_t sequence) = 0;

    /** Sends a packet to the agent's backend server. Balancers never do. */
    virtual void send_to_server(std::string_view packet) = 0;

    /** Sends what was collected. */
    virtual void flush() = 0;
};

} // namespace carawayshelf
