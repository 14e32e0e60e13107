#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <string_view>

namespace carawayshelf
{

/** Output interface of packet_balancer and packet_agent. Packets passed to it must stay valid until
    flush() returns. The driver calls flush() before it reads the next datagrams. */
class packet_port
{
public:
    virtual ~packet_port() = default;

    /** Sends an envelope, with a packet or without one, to an agent or a balancer.
        @param packet  empty if the envelope carries none */
    virtual void send_envelope(const endpoint& to, const packet_envelope& envelope,
                               std::string_view packet) = 0;

    /** Sends a packet to a client. */
    virtual void send_to_client(std::uint32_t client_address, std::string_view packet) = 0;

    /** Sends a reset to a client. */
    virtual void send_reset(const packet_flow& flow, std::uint32_t sequence) = 0;

    /** Sends a packet to the agent's backend server. Not called by balancers. */
    virtual void send_to_server(std::string_view packet) = 0;

    /** Sends all packets passed since the last call. */
    virtual void flush() = 0;
};

} // namespace carawayshelf
