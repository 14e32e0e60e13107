#include "carawayshelf_admission/exchange_cache.hpp"

namespace carawayshelf
{

exchange* exchange_cache::find(const exchange_key& key)
{
    const auto found = exchanges_.find(key);
    return found == exchanges_.end() ? nullptr : &found->second;
}

exchange& exchange_cache::add(time_point now, const exchange_key& key)
{
    by_age_.emplace_back(now, key);
    exchange& added = exchanges_[key];
    added.arrived = now;
    return added;
}

void exchange_cache::expire(time_point now)
{
    while (!by_age_.empty() && now - by_age_.front().first >= lifetime)
    {
        const exchange_key key = by_age_.front().second;
        by_age_.pop_front();
        const auto found = exchanges_.find(key);
        if (found == exchanges_.end())
        {
            continue;
        }
        if (found->second.state == exchange_state::answered)
        {
            exchanges_.erase(found);
        }
        else
        {
            by_age_.emplace_back(now, key);
        }
    }
}

} // namespace carawayshelf
