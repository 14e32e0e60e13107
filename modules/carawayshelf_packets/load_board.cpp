#include "carawayshelf_packets/load_board.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

void load_board::take_report(time_point now, const endpoint& agent, const report& told)
{
    entries_[agent] = {told, 0.0, now};
}

void load_board::note_placed(time_point now, const endpoint& agent)
{
    entry& known = entries_[agent];
    known.placed += 1.0;
    if (known.reported == time_point())
    {
        known.reported = now; // It is suspect unless its first report comes soon.
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
    const double slots = std::max<std::uint32_t>(known.told.slots, 1);
    const double rounds = 1.0 + (known.told.load + known.placed) / slots;
    load_estimate estimate;
    estimate.expected = duration(
        static_cast<std::int64_t>(rounds * static_cast<double>(known.told.service_time.count())));
    estimate.is_closed = known.told.is_closed;
    estimate.is_cold = known.told.is_cold;
    estimate.is_suspect = now - known.reported > suspect_after;
    return estimate;
}

void load_board::expire(time_point now)
{
    for (auto item = entries_.begin(); item != entries_.end();)
    {
        item = now - item->second.reported > forget_after ? entries_.erase(item) : std::next(item);
    }
}

} // namespace carawayshelf
