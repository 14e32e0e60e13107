#include "carawayshelf_packets/agent_set.hpp"

namespace carawayshelf
{

std::size_t agent_set::shard_of(const endpoint& agent)
{
    // Neighbouring addresses go to different shards, and so do their ports.
    return (agent.address ^ (agent.address >> 8U) ^ agent.port) % shard_count;
}

agent_set::member_counts agent_set::counts_of(const endpoint& agent) const
{
    const std::shared_ptr<const shard>& held = shards_[shard_of(agent)];
    if (!held)
    {
        return {};
    }
    const auto found = held->find(agent);
    return found == held->end() ? member_counts{} : found->second;
}

agent_set::shard& agent_set::own_copy(const endpoint& agent)
{
    std::shared_ptr<const shard>& held = shards_[shard_of(agent)];
    const std::shared_ptr<shard> copy =
        held ? std::make_shared<shard>(*held) : std::make_shared<shard>();
    held = copy;
    return *copy;
}

void agent_set::change(const endpoint& agent, const member_counts& difference)
{
    if (difference.all == 0 && difference.heard == 0)
    {
        return;
    }
    shard& held = own_copy(agent);
    member_counts& counts = held[agent];
    counts.all += difference.all;
    counts.heard += difference.heard;
    if (counts.all == 0)
    {
        held.erase(agent);
    }
}

} // namespace carawayshelf
