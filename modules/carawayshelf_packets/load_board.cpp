#include "carawayshelf_packets/load_board.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

void load_board::take_report(time_point now, const endpoint& agent, const report& told)
{
    entry& known = entries_[agent];
    known.told = told;
    known.placed = 0.0;
    known.heard = now;
    known.asked = time_point();
}

void load_board::note_placed(time_point now, const endpoint& agent)
{
    entry& known = entries_[agent];
    known.placed += 1.0;
    note_asked(now, known);
}

bool load_board::wants_probe(time_point now, const endpoint& agent)
{
    entry& known = entries_[agent];
    const bool was_heard = known.heard != time_point() && now - known.heard < heard_lately;
    if (was_heard || known.asked != time_point())
    {
        return false;
    }
    note_asked(now, known);
    known.probed = now;
    return true;
}

std::vector<endpoint> load_board::suspects_to_probe(time_point now, std::size_t most)
{
    std::vector<std::pair<time_point, endpoint>> suspects;
    for (const auto& [agent, known] : entries_)
    {
        if (is_suspect(now, known))
        {
            suspects.emplace_back(known.probed, agent);
        }
    }
    std::sort(suspects.begin(), suspects.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    suspects.resize(std::min(suspects.size(), most));
    std::vector<endpoint> probed;
    for (const auto& [at, agent] : suspects)
    {
        entries_[agent].probed = now;
        probed.push_back(agent);
    }
    return probed;
}

load_estimate load_board::estimate(time_point now, const endpoint& agent) const
{
    load_estimate estimate;
    estimate.expected = first_service_time;
    const auto found = entries_.find(agent);
    if (found == entries_.end())
    {
        return estimate;
    }
    const entry& known = found->second;
    const double age = std::min(1.0, std::chrono::duration<double>(now - known.heard) /
                                         std::chrono::duration<double>(load_ages_for));
    const double slots = std::max<std::uint32_t>(known.told.slots, 1);
    const double rounds = 1.0 + (known.told.load * (1.0 - age) + known.placed) / slots;
    // A server that answers faster than usual gets no more for it: it may fail what it gets.
    const duration service_time = std::max(known.told.service_time, first_service_time);
    estimate.expected =
        duration(static_cast<std::int64_t>(rounds * static_cast<double>(service_time.count())));
    estimate.is_closed = known.told.is_closed && age < 1.0;
    estimate.is_cold = known.told.is_cold;
    estimate.is_failing = known.told.is_failing && age < 1.0;
    estimate.is_suspect = is_suspect(now, known);
    estimate.is_known = age < 1.0;
    return estimate;
}

void load_board::expire(time_point now)
{
    for (auto item = entries_.begin(); item != entries_.end();)
    {
        const entry& known = item->second;
        const time_point last = std::max(known.heard, known.asked);
        item = now - last > forget_after ? entries_.erase(item) : std::next(item);
    }
}

} // namespace carawayshelf
