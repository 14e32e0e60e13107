#include "carawayshelf_packets/agent_set.hpp"

namespace carawayshelf
{

std::size_t agent_set::shard_of(const endpoint& agent)
{
    // Spreads consecutive addresses, and the ports of one address, over different shards.
    return (agent.address ^ (agent.address >> 8U) ^ agent.port) % shard_count;
}

agent_set::member_counts agent_set::counts_of(const endpoint& agent) const
{
    const std::shared_ptr<const shard>& current_shard = shards_[shard_of(agent)];
    if (!current_shard)
    {
        return {};
    }
    const auto found = current_shard->find(agent);
    return found == current_shard->end() ? member_counts{} : found->second;
}

agent_set::shard& agent_set::own_copy(const endpoint& agent)
{
    std::shared_ptr<const shard>& current_shard = shards_[shard_of(agent)];
    const std::shared_ptr<shard> copy =
        current_shard ? std::make_shared<shard>(*current_shard) : std::make_shared<shard>();
    current_shard = copy;
    return *copy;
}

void agent_set::adjust(const endpoint& agent, const member_counts& difference)
{
    if (difference.all == 0 && difference.not_silent == 0)
    {
        return;
    }
    shard& current_shard = own_copy(agent);
    member_counts& counts = current_shard[agent];
    counts.all += difference.all;
    counts.not_silent += difference.not_silent;
    if (counts.all == 0)
    {
        current_shard.erase(agent);
    }
}

} // namespace carawayshelf
