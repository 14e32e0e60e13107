#include "carawayshelf_io/lease_table.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr duration repropose_interval = std::chrono::seconds(2);

/** How long a silent member with flow_protocol::packets is kept, since its backend server may still
    hold flows. Longer than the users' flows, which last 60 s. */
constexpr duration silent_member_retention = std::chrono::seconds(75);

} // namespace

lease_table::lease_table(duration lease) : lease_(lease)
{
}

void lease_table::start(time_point now)
{
    started_at_ = now;
    leases_.clear();
    members_last_heard_.clear();
    proposed_at_.clear();
    reached_generations_.clear();
    required_generation_ = 0;
}

void lease_table::note_generation(time_point now, generation reached)
{
    if (reached_generations_.empty() || reached_generations_.back().second < reached)
    {
        reached_generations_.emplace_back(now, reached);
    }
}

bool lease_table::is_too_far_behind(time_point now, generation held)
{
    while (!reached_generations_.empty() && now - reached_generations_.front().first >= lease_)
    {
        required_generation_ = reached_generations_.front().second;
        reached_generations_.pop_front();
    }
    return held < required_generation_;
}

void lease_table::note_report(time_point now, const daemon_report& report)
{
    leases_[report.name] = {report, now};
    if (report.member != 0 && !is_too_far_behind(now, report.held))
    {
        members_last_heard_[report.member] = now;
    }
}

bool lease_table::is_due(time_point now, const std::string& key)
{
    const auto found = proposed_at_.find(key);
    if (found != proposed_at_.end() && now - found->second < repropose_interval)
    {
        return false;
    }
    proposed_at_[key] = now;
    return true;
}

std::vector<change> lease_table::collect_changes(time_point now, const cluster_state& state)
{
    std::vector<change> changes;
    for (const auto& [id, agent] : state.data().members)
    {
        collect_member_changes(now, agent, changes);
    }
    for (const auto& [name, entry] : leases_)
    {
        if (now - entry.last_heard < lease_)
        {
            collect_releases(now, state, entry.report, changes);
        }
    }
    for (auto item = proposed_at_.begin(); item != proposed_at_.end();)
    {
        item = now - item->second > repropose_interval ? proposed_at_.erase(item) : std::next(item);
    }
    return changes;
}

void lease_table::collect_member_changes(time_point now, const member& agent,
                                         std::vector<change>& changes)
{
    const auto last_heard = members_last_heard_.find(agent.id);
    const time_point since =
        last_heard == members_last_heard_.end() ? started_at_ : last_heard->second;
    if (now - since >= lease_)
    {
        const bool may_hold_flows =
            agent.protocol == flow_protocol::packets && now - since < silent_member_retention;
        if (may_hold_flows)
        {
            if (agent.state != member_state::silent &&
                is_due(now, "silent " + std::to_string(agent.id)))
            {
                changes.emplace_back(set_member_state{agent.id, member_state::silent});
            }
        }
        else if (is_due(now, "retire " + std::to_string(agent.id)))
        {
            changes.emplace_back(retire_member{agent.id});
        }
        return;
    }
    const auto lease = leases_.find(agent.name);
    if (lease == leases_.end() || lease->second.report.member != agent.id ||
        lease->second.report.state == agent.state)
    {
        return;
    }
    if (lease->second.report.held < agent.changed_at)
    {
        return; // The report may have been sent before the member's last change.
    }
    if (is_due(now, "state " + std::to_string(agent.id)))
    {
        changes.emplace_back(set_member_state{agent.id, lease->second.report.state});
    }
}

void lease_table::collect_releases(time_point now, const cluster_state& state,
                                   const daemon_report& report, std::vector<change>& changes)
{
    const auto agent = state.data().members.find(report.member);
    if (report.released.empty() || agent == state.data().members.end())
    {
        return;
    }
    const service_state* service = state.find_service(agent->second.service);
    if (service == nullptr)
    {
        return;
    }
    release_buckets release;
    release.member = report.member;
    for (const released_bucket& bucket : report.released)
    {
        if (bucket.bucket < service->rows.size() &&
            service->rows[bucket.bucket].has_earlier(report.member))
        {
            release.buckets.push_back(bucket);
        }
    }
    if (!release.buckets.empty() && is_due(now, "release " + std::to_string(report.member)))
    {
        changes.emplace_back(std::move(release));
    }
}

std::vector<daemon_report> lease_table::live(time_point now) const
{
    std::vector<daemon_report> reports;
    for (const auto& [name, entry] : leases_)
    {
        if (now - entry.last_heard < lease_)
        {
            reports.push_back(entry.report);
        }
    }
    return reports;
}

std::vector<std::string> lease_table::lagging(time_point now, generation wanted) const
{
    std::vector<std::string> names;
    for (const daemon_report& report : live(now))
    {
        if (report.held < wanted)
        {
            names.push_back(report.name);
        }
    }
    return names;
}

} // namespace carawayshelf
