#pragma once

#include "carawayshelf_core/endpoint.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace carawayshelf
{

/** The set of agents, with the number of members at each and how many of those are not silent.
    Copies share unchanged shards, so that adjusting one agent in a copy copies only one shard. Not
    thread-safe while it is modified. */
class agent_set
{
public:
    /** Member counts of an agent, or differences of them. */
    struct member_counts
    {
        std::int32_t all = 0;
        std::int32_t not_silent = 0; ///< Without the members that control marks as silent.
    };

    bool contains(const endpoint& agent) const
    {
        return counts_of(agent).all != 0;
    }

    /** Whether the agent has members and control marks all of them as silent. */
    bool is_silent(const endpoint& agent) const
    {
        const member_counts counts = counts_of(agent);
        return counts.all != 0 && counts.not_silent == 0;
    }

    /** Adds a difference to the counts of an agent. Precondition: no count becomes negative. */
    void adjust(const endpoint& agent, const member_counts& difference);

private:
    static constexpr std::size_t shard_count = 64;

    using shard = std::unordered_map<endpoint, member_counts>;

    member_counts counts_of(const endpoint& agent) const;
    static std::size_t shard_of(const endpoint& agent);
    shard& own_copy(const endpoint& agent);

    std::array<std::shared_ptr<const shard>, shard_count> shards_;
};

} // namespace carawayshelf
