#include "carawayshelf_packets/load_tracker.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

void load_tracker::add_report(time_point now, const endpoint& agent, const report& latest_report)
{
    entry& known = entries_[agent];
    known.latest_report = latest_report;
    known.flows_since_report = 0.0;
    known.heard_at = now;
    known.unanswered_since = time_point();
}

void load_tracker::note_flow_placed(time_point now, const endpoint& agent)
{
    entry& known = entries_[agent];
    known.flows_since_report += 1.0;
    start_waiting_for_answer(now, known);
}

bool load_tracker::start_probe_if_due(time_point now, const endpoint& agent)
{
    entry& known = entries_[agent];
    const bool was_heard =
        known.heard_at != time_point() && now - known.heard_at < probe_after_silence;
    if (was_heard || known.unanswered_since != time_point())
    {
        return false;
    }
    start_waiting_for_answer(now, known);
    known.probed_at = now;
    return true;
}

std::vector<endpoint> load_tracker::take_suspects_to_probe(time_point now, std::size_t max_count)
{
    std::vector<std::pair<time_point, endpoint>> suspects;
    for (const auto& [agent, known] : entries_)
    {
        if (is_suspect(now, known))
        {
            suspects.emplace_back(known.probed_at, agent);
        }
    }
    std::sort(suspects.begin(), suspects.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    suspects.resize(std::min(suspects.size(), max_count));
    std::vector<endpoint> probed;
    for (const auto& [at, agent] : suspects)
    {
        entries_[agent].probed_at = now;
        probed.push_back(agent);
    }
    return probed;
}

load_estimate load_tracker::estimate(time_point now, const endpoint& agent) const
{
    load_estimate estimate;
    estimate.expected_time = default_service_time;
    const auto found = entries_.find(agent);
    if (found == entries_.end())
    {
        return estimate;
    }
    const entry& known = found->second;
    const double age = std::min(1.0, std::chrono::duration<double>(now - known.heard_at) /
                                         std::chrono::duration<double>(load_report_lifetime));
    const double slots = std::max<std::uint32_t>(known.latest_report.slots, 1);
    const double rounds =
        1.0 + (known.latest_report.load * (1.0 - age) + known.flows_since_report) / slots;
    // A server that answers faster than usual is not preferred, because it may fail its requests.
    const duration service_time = std::max(known.latest_report.service_time, default_service_time);
    estimate.expected_time =
        duration(static_cast<std::int64_t>(rounds * static_cast<double>(service_time.count())));
    estimate.is_closed = known.latest_report.is_closed && age < 1.0;
    estimate.is_cold = known.latest_report.is_cold;
    estimate.is_failing = known.latest_report.is_failing && age < 1.0;
    estimate.is_suspect = is_suspect(now, known);
    estimate.is_known = age < 1.0;
    return estimate;
}

void load_tracker::expire(time_point now)
{
    for (auto item = entries_.begin(); item != entries_.end();)
    {
        const entry& known = item->second;
        const time_point last = std::max(known.heard_at, known.unanswered_since);
        item = now - last > entry_lifetime ? entries_.erase(item) : std::next(item);
    }
}

} // namespace carawayshelf
