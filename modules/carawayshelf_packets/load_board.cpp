#include "carawayshelf_packets/load_board.hpp"

#include <iterator>

namespace carawayshelf
{

void load_board::take_report(time_point now, const endpoint& agent, double load, bool is_closed,
                             bool is_cold)
{
    entries_[agent] = {load, 0.0, is_closed, is_cold, now};
}

void load_board::note_placed(const endpoint& agent)
{
    const auto found = entries_.find(agent);
    if (found != entries_.end())
    {
        found->second.placed += 1.0;
    }
}

load_estimate load_board::estimate(time_point now, const endpoint& agent) const
{
    const auto found = entries_.find(agent);
    if (found == entries_.end())
    {
        return {};
    }
    const entry& known = found->second;
    return {known.load + known.placed, known.is_closed, known.is_cold,
            now - known.reported > suspect_after};
}

void load_board::expire(time_point now)
{
    for (auto item = entries_.begin(); item != entries_.end();)
    {
        item = now - item->second.reported > forget_after ? entries_.erase(item) : std::next(item);
    }
}

} // namespace carawayshelf
