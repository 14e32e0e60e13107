#include "carawayshelf_packets/load_tracker.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

void load_tracker::add_report(time_point now, const endpoint& agent, const report& latest_report)
{
    entry& agent_entry = entries_[agent];
    agent_entry.latest_report = latest_report;
    agent_entry.flows_since_report = 0.0;
    agent_entry.report_received_at = now;
    agent_entry.unanswered_since = time_point();
    pace_reported_at_ = latest_report.pace ? now : pace_reported_at_;
}

void load_tracker::record_flow_placed(time_point now, const endpoint& agent)
{
    entry& agent_entry = entries_[agent];
    agent_entry.flows_since_report += 1.0;
    start_waiting_for_answer(now, agent_entry);
}

bool load_tracker::start_probe_if_due(time_point now, const endpoint& agent)
{
    entry& agent_entry = entries_[agent];
    const bool has_recent_report = agent_entry.report_received_at != time_point() &&
                                   now - agent_entry.report_received_at < probe_after_silence;
    if (has_recent_report || agent_entry.unanswered_since != time_point())
    {
        return false;
    }
    start_waiting_for_answer(now, agent_entry);
    agent_entry.probed_at = now;
    return true;
}

std::vector<endpoint> load_tracker::take_suspects_to_probe(time_point now, std::size_t max_count)
{
    std::vector<std::pair<time_point, endpoint>> suspects;
    for (const auto& [agent, agent_entry] : entries_)
    {
        if (is_suspect(now, agent_entry))
        {
            suspects.emplace_back(agent_entry.probed_at, agent);
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
    const entry& agent_entry = found->second;
    const double relative_age =
        std::min(1.0, std::chrono::duration<double>(now - agent_entry.report_received_at) /
                          std::chrono::duration<double>(load_report_lifetime));
    const double slots = std::max<std::uint32_t>(agent_entry.latest_report.slots, 1);
    const double expected_service_times =
        1.0 +
        (agent_entry.latest_report.load * (1.0 - relative_age) + agent_entry.flows_since_report) /
            slots;
    // A server that answers faster than usual is not preferred, because it may fail its requests.
    const duration service_time =
        std::max(agent_entry.latest_report.service_time, default_service_time);
    estimate.expected_time = duration(static_cast<std::int64_t>(
        expected_service_times * static_cast<double>(service_time.count())));
    estimate.is_closed = agent_entry.latest_report.is_closed && relative_age < 1.0;
    estimate.is_cold = agent_entry.latest_report.is_cold;
    estimate.is_failing = agent_entry.latest_report.is_failing && relative_age < 1.0;
    estimate.is_suspect = is_suspect(now, agent_entry);
    estimate.is_known = relative_age < 1.0;
    estimate.pace = estimate.is_known ? agent_entry.latest_report.pace : std::nullopt;
    return estimate;
}

void load_tracker::expire(time_point now)
{
    for (auto item = entries_.begin(); item != entries_.end();)
    {
        const entry& agent_entry = item->second;
        const time_point last =
            std::max(agent_entry.report_received_at, agent_entry.unanswered_since);
        item = now - last > entry_lifetime ? entries_.erase(item) : std::next(item);
    }
}

} // namespace carawayshelf
