#pragma once

#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

namespace carawayshelf
{

/** Finds the next agent to ask for a flow, once the envelope's candidates have all returned its
    packet: the members of the route's services in the order of their ranks for this flow. Each step
    goes by the table of the agent that takes it, so the envelope carries no list, however many
    members there are. Members that changed since the oldest table on the way are asked (again), for
    an earlier step may not have known them; silent ones, and the envelope's suspects, come last,
   for where one doesn't answer the search ends.

    Members are in no other order, so a step costs time in proportion to their number.

    @param own       the agent that takes the step; it has returned the packet
    @param envelope  is moved on to the next step
    @return the agent to ask, or none when everybody in the table has been asked */
endpoint next_holder(const packet_table& table, const packet_route& route, const endpoint& own,
                     std::uint64_t flow_hash, packet_envelope& envelope);

} // namespace carawayshelf
