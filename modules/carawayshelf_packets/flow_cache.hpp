#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** A balancer's set-associative cache of the agents that hold flows. Entries may be out of date. A
    miss costs only a search. Allocates memory only in its constructor. Not thread-safe. */
class flow_cache
{
public:
    /** @param entries  capacity in flows; rounded up to whole sets */
    explicit flow_cache(std::size_t entries);

    /** The agent that holds a flow, or a none endpoint. Counts as a use of the entry. */
    endpoint find(std::uint64_t flow_hash, time_point now);

    /** Stores the agent of a flow. Evicts the least recently used entry of the set if the set is
        full. */
    void put(std::uint64_t flow_hash, const endpoint& agent, time_point now);

    /** Removes the entry of a flow if it names this agent. */
    void erase(std::uint64_t flow_hash, const endpoint& agent);

private:
    static constexpr std::size_t entries_per_set = 4;

    struct entry
    {
        std::uint64_t flow_hash = 0;
        endpoint agent;
        std::uint32_t used_ms = 0; ///< Last use. Wraps around; only compared within a set.
    };

    using cache_set = std::array<entry, entries_per_set>;

    cache_set& set_of(std::uint64_t flow_hash)
    {
        return sets_[flow_hash % sets_.size()];
    }

    std::vector<cache_set> sets_;
};

} // namespace carawayshelf
