#pragma once

#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <string>
#include <string_view>

namespace carawayshelf
{

/** A decision about a packet, and the facts on which it is based. */
struct packet_decision
{
    const char* action = ""; ///< One of dropped, reset, passed.
    std::string_view reason;
    packet_flow flow;
    bool is_opening = false;
    generation held = 0;          ///< Generation of the table of this process.
    generation envelope_held = 0; ///< Newest one of all processes that handled the packet.
    std::uint8_t position = 0;    ///< Index of the current candidate in the envelope.
    std::uint8_t candidate_count = 0;
    std::uint32_t load = 0; ///< Requests in flight or queued; 0 at a balancer.
};

/** A change of what an agent or a balancer decides under load, such as the begin of a shortage. */
struct load_state_change
{
    std::string_view part;  ///< Which decision changes, such as "shortage" or "pace".
    std::string_view state; ///< What holds from now on, such as "begins".
    std::string inputs;     ///< The values that decided it, for a person to read.
};

/** Receives the decisions to drop, reset or forward a packet, and changes of state. Called on the
   traffic thread; must not block. */
class packet_observer
{
public:
    virtual ~packet_observer() = default;

    virtual void record(const packet_decision& decision) = 0;

    virtual void record_state(const load_state_change& change) = 0;
};

} // namespace carawayshelf
