#include "carawayshelf_packets/flow_cache.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

std::uint32_t milliseconds_of(time_point now)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
}

} // namespace

flow_cache::flow_cache(std::size_t entries)
    : sets_(std::max<std::size_t>(1, (entries + entries_per_set - 1) / entries_per_set))
{
}

endpoint flow_cache::find(std::uint64_t flow_hash, time_point now)
{
    for (entry& item : set_of(flow_hash))
    {
        if (item.flow_hash == flow_hash)
        {
            item.used_ms = milliseconds_of(now);
            return item.agent;
        }
    }
    return {};
}

void flow_cache::put(std::uint64_t flow_hash, const endpoint& agent, time_point now)
{
    const std::uint32_t now_ms = milliseconds_of(now);
    entry* chosen = nullptr;
    std::uint32_t oldest = 0;
    for (entry& item : set_of(flow_hash))
    {
        if (item.flow_hash == flow_hash)
        {
            chosen = &item;
            break;
        }
        const std::uint32_t age = item.agent.is_none() ? UINT32_MAX : now_ms - item.used_ms;
        if (chosen == nullptr || age > oldest)
        {
            chosen = &item;
            oldest = age;
        }
    }
    *chosen = {flow_hash, agent, now_ms};
}

void flow_cache::erase(std::uint64_t flow_hash, const endpoint& agent)
{
    for (entry& item : set_of(flow_hash))
    {
        if (item.flow_hash == flow_hash && item.agent == agent)
        {
            item = entry{};
        }
    }
}

} // namespace carawayshelf
