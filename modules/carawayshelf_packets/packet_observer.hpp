#pragma once

#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <string_view>

namespace carawayshelf
{

/** One decision about a packet, with what it rested on. */
struct packet_decision
{
    const char* what = ""; ///< dropped, reset or passed.
    std::string_view reason;
    packet_flow flow;
    bool is_opening = false;
    generation held = 0;          ///< Own table.
    generation envelope_held = 0; ///< Newest table on the packet's way.
    std::uint8_t position = 0;
    std::uint8_t candidate_count = 0;
    std::uint32_t load = 0; ///< Requests under way at the own backend server.
};

/** Gets the decisions that keep a packet from the place where it was sent first. Called on the
    traffic thread; must not block. */
class packet_observer
{
public:
    virtual ~packet_observer() = default;

    virtual void note(const packet_decision& decision) = 0;
};

} // namespace carawayshelf
