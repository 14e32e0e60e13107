#include "carawayshelf_io/parking_place.hpp"

#include <utility>

namespace carawayshelf
{

bool parking_place::park(time_point now, const std::string& name, std::string content)
{
    expire(now);
    claim(now, name);
    if (bytes_ + content.size() > most_bytes)
    {
        return false;
    }
    bytes_ += content.size();
    states_[name] = {now, std::move(content)};
    return true;
}

std::string parking_place::claim(time_point now, const std::string& name)
{
    expire(now);
    auto found = states_.extract(name);
    if (!found)
    {
        return {};
    }
    bytes_ -= found.mapped().content.size();
    return std::move(found.mapped().content);
}

void parking_place::expire(time_point now)
{
    for (auto item = states_.begin(); item != states_.end();)
    {
        if (now - item->second.since < longest_stay)
        {
            ++item;
            continue;
        }
        bytes_ -= item->second.content.size();
        item = states_.erase(item);
    }
}

} // namespace carawayshelf
