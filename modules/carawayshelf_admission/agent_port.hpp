#pragma once

#include "carawayshelf_wire/envelope.hpp"

#include <string_view>

namespace carawayshelf
{

/** Output interface of an agent core. Called only from within calls to the core. */
class agent_port
{
public:
    virtual ~agent_port() = default;

    /** Sends a datagram in an envelope to a balancer or another agent. */
    virtual void send_envelope(const endpoint& to, const envelope& header,
                               std::string_view datagram) = 0;

    /** Sends a datagram to the backend server from the flow's own socket. */
    virtual void send_to_server(const flow_key& flow, std::string_view datagram) = 0;

    /** Closes the flow's socket, if one is open. */
    virtual void close_flow(const flow_key& flow) = 0;
};

} // namespace carawayshelf
