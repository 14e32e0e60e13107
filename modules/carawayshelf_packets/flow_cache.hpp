#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Which agent holds a flow, as a balancer last heard. A bounded cache: an entry that is lost only
    costs the packet some visits. Takes no memory after its construction. Not thread-safe. */
class flow_cache
{
public:
    /** @param entries  flows that are remembered; rounded up to whole sets */
    explicit flow_cache(std::size_t entries);

    /** The agent that holds a flow, or none. */
    endpoint find(std::uint64_t flow_hash, time_point now);

    /** Remembers the agent of a flow in place of the set's least recently used one. */
    void put(std::uint64_t flow_hash, const endpoint& agent, time_point now);

    /** Forgets a flow, if it is remembered at that agent. */
    void erase(std::uint64_t flow_hash, const endpoint& agent);

private:
    static constexpr std::size_t ways = 4;

    struct entry
    {
        std::uint64_t flow_hash = 0;
        endpoint agent;
        std::uint32_t used_ms = 0; ///< Wraps around; only compared within a set.
    };

    using cache_set = std::array<entry, ways>;

    cache_set& set_of(std::uint64_t flow_hash)
    {
        return sets_[flow_hash % sets_.size()];
    }

    std::vector<cache_set> sets_;
};

} // namespace carawayshelf
