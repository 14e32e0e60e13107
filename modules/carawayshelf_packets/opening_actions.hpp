#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/forward_reason.hpp"
#include "carawayshelf_packets/client_packet.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstdint>

namespace carawayshelf
{

/** What a backend server takes, as its agent sees it. */
struct server_capacity
{
    duration service_time{0}; ///< By service_time_meter.
    duration request_time{0}; ///< By request_time_meter.
    std::uint32_t slots = 1;
    std::uint32_t requests_in_flight = 0;
    std::uint32_t max_requests = 1; ///< In flight; beyond it, openings wait.
};

/** What pending_openings does with opening packets; packet_agent implements it. Not thread-safe. */
class opening_actions
{
public:
    virtual server_capacity capacity() const = 0;

    /** The route of a service address, or nullptr. */
    virtual const packet_route* find_route(const endpoint& address) const = 0;

    /** Admits a flow if the rules allow it. Returns forward_reason::none, or why not. */
    virtual forward_reason try_admit(time_point now, const packet_envelope& envelope,
                                     const packet_route& route, const client_packet& packet) = 0;

    /** Passes an opening packet on, or refuses it if there is no other candidate. */
    virtual void forward(time_point now, packet_envelope envelope, const packet_route& route,
                         const client_packet& packet, forward_reason reason) = 0;

    /** Whether all members are likely to answer an inquiry about a refusal now. */
    virtual bool can_ask_members(time_point now, const packet_route& route,
                                 const packet_flow& key) const = 0;

    /** Asks all members for their consent to a refusal.
        Precondition: can_ask_members(). */
    virtual void start_inquiry(time_point now, const packet_envelope& envelope,
                               const packet_route& route, const client_packet& packet) = 0;

    /** Sends a report to the balancer from which an envelope was received. */
    virtual void notify_balancer(time_point now, packet_envelope_kind kind, const packet_flow& key,
                                 const packet_envelope& received) = 0;

    virtual void drop_packet(packet_drop reason, const packet_envelope& envelope,
                             const packet_header& header) = 0;

    virtual void reset_flow(packet_reset reason, const packet_envelope& envelope,
                            const packet_header& header) = 0;

    /** Sends all packets; memory that was passed may be freed afterwards. */
    virtual void flush() = 0;

protected:
    ~opening_actions() = default;
};

} // namespace carawayshelf
