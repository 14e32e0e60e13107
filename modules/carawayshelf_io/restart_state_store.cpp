#include "carawayshelf_io/restart_state_store.hpp"

#include <utility>

namespace carawayshelf
{

bool restart_state_store::store(time_point now, const std::string& name, std::string content)
{
    expire(now);
    claim(now, name);
    if (total_bytes_ + content.size() > max_total_bytes)
    {
        return false;
    }
    total_bytes_ += content.size();
    states_[name] = {now, std::move(content)};
    return true;
}

std::string restart_state_store::claim(time_point now, const std::string& name)
{
    expire(now);
    auto found = states_.extract(name);
    if (!found)
    {
        return {};
    }
    total_bytes_ -= found.mapped().content.size();
    return std::move(found.mapped().content);
}

void restart_state_store::expire(time_point now)
{
    for (auto item = states_.begin(); item != states_.end();)
    {
        if (now - item->second.stored_at < max_state_age)
        {
            ++item;
            continue;
        }
        total_bytes_ -= item->second.content.size();
        item = states_.erase(item);
    }
}

} // namespace carawayshelf
