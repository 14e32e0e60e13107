#include "carawayshelf_packets/flow_search.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr std::uint64_t top_rank = UINT64_MAX;

/** Whether the search's present phase asks a member. */
bool is_asked(const packet_member& who, const packet_envelope& envelope)
{
    const bool is_suspect = who.is_silent || envelope.has_suspect(who.data);
    switch (envelope.phase)
    {
    case walk_phase::members: // The candidates have returned the packet already.
        return !is_suspect && !envelope.has_candidate(who.data);
    case walk_phase::changed:
        return !is_suspect && who.changed_at > envelope.since;
    case walk_phase::silent:
        return is_suspect;
    case walk_phase::none:
        break;
    }
    return false;
}

/** The member that ranks next below the cursor among those that are asked, or nullptr. */
const packet_member* find_next(const packet_table& table, const packet_route& route,
                               const endpoint& own, std::uint64_t flow_hash,
                               const packet_envelope& envelope, std::uint64_t& next_rank)
{
    const packet_member* next = nullptr;
    for (const std::uint32_t service : route.services)
    {
        for (const packet_member& who : table.members_of(service))
        {
            const std::uint64_t rank = rank_holder(flow_hash, who.data);
            const bool is_next = rank < envelope.cursor && (next == nullptr || rank > next_rank);
            if (is_next && who.data != own && is_asked(who, envelope))
            {
                next = &who;
                next_rank = rank;
            }
        }
    }
    return next;
}

} // namespace

endpoint next_holder(const packet_table& table, const packet_route& route, const endpoint& own,
                     std::uint64_t flow_hash, packet_envelope& envelope)
{
    if (envelope.phase == walk_phase::none)
    {
        envelope.phase = walk_phase::members;
        envelope.cursor = top_rank;
        envelope.oldest = table.held();
    }
    while (true)
    {
        std::uint64_t next_rank = 0;
        const packet_member* next = find_next(table, route, own, flow_hash, envelope, next_rank);
        if (next != nullptr)
        {
            envelope.cursor = next_rank;
            envelope.oldest = std::min(envelope.oldest, table.held());
            return next->data;
        }
        if (envelope.oldest < table.held())
        {
            envelope.phase = walk_phase::changed;
            envelope.since = envelope.oldest;
            envelope.oldest = table.held();
        }
        else if (envelope.phase != walk_phase::silent)
        {
            envelope.phase = walk_phase::silent;
        }
        else
        {
            return {};
        }
        envelope.cursor = top_rank;
    }
}

} // namespace carawayshelf
