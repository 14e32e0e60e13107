#include "carawayshelf_packets/agent_set.hpp"

namespace carawayshelf
{

std::size_t agent_set::shard_of(const endpoint& agent)
{
    // Neighbouring addresses go to different shards, and so do their ports.
    return (agent.address ^ (agent.address >> 8U) ^ agent.port) % shard_count;
}

bool agent_set::contains(const endpoint& agent) const
{
    const std::shared_ptr<const shard>& held = shards_[shard_of(agent)];
    return held && held->count(agent) != 0;
}

agent_set::shard& agent_set::own_copy(const endpoint& agent)
{
    std::shared_ptr<const shard>& held = shards_[shard_of(agent)];
    const std::shared_ptr<shard> copy =
        held ? std::make_shared<shard>(*held) : std::make_shared<shard>();
    held = copy;
    return *copy;
}

void agent_set::add(const endpoint& agent)
{
    ++own_copy(agent)[agent];
}

void agent_set::remove(const endpoint& agent)
{
    shard& held = own_copy(agent);
    const auto found = held.find(agent);
    if (--found->second == 0)
    {
        held.erase(found);
    }
}

} // namespace carawayshelf
