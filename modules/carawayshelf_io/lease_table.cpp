#include "carawayshelf_io/lease_table.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr duration propose_again = std::chrono::seconds(2);

/** A silent member whose backend server owns its flows is kept until these are over; the users'
    flows last 60 s. */
constexpr duration silent_member_memory = std::chrono::seconds(75);

} // namespace

lease_table::lease_table(duration lease) : lease_(lease)
{
}

void lease_table::start(time_point now)
{
    started_ = now;
    leases_.clear();
    members_heard_.clear();
    proposed_.clear();
    reached_.clear();
    required_ = 0;
}

void lease_table::note_generation(time_point now, generation reached)
{
    if (reached_.empty() || reached_.back().second < reached)
    {
        reached_.emplace_back(now, reached);
    }
}

bool lease_table::is_too_far_behind(time_point now, generation held)
{
    while (!reached_.empty() && now - reached_.front().first >= lease_)
    {
        required_ = reached_.front().second;
        reached_.pop_front();
    }
    return held < required_;
}

void lease_table::hear(time_point now, const daemon_report& report)
{
    leases_[report.name] = {report, now};
    if (report.member != 0 && !is_too_far_behind(now, report.held))
    {
        members_heard_[report.member] = now;
    }
}

bool lease_table::is_due(time_point now, const std::string& what)
{
    const auto found = proposed_.find(what);
    if (found != proposed_.end() && now - found->second < propose_again)
    {
        return false;
    }
    proposed_[what] = now;
    return true;
}

std::vector<change> lease_table::collect_changes(time_point now, const cluster_state& state)
{
    std::vector<change> changes;
    for (const auto& [id, who] : state.data().members)
    {
        collect_for_member(now, who, changes);
    }
    for (const auto& [name, entry] : leases_)
    {
        if (now - entry.heard < lease_)
        {
            collect_releases(now, state, entry.report, changes);
        }
    }
    for (auto item = proposed_.begin(); item != proposed_.end();)
    {
        item = now - item->second > propose_again ? proposed_.erase(item) : std::next(item);
    }
    return changes;
}

void lease_table::collect_for_member(time_point now, const member& who,
                                     std::vector<change>& changes)
{
    const auto heard = members_heard_.find(who.id);
    const time_point since = heard == members_heard_.end() ? started_ : heard->second;
    if (now - since >= lease_)
    {
        const bool may_hold_flows =
            who.protocol == flow_protocol::packets && now - since < silent_member_memory;
        if (may_hold_flows)
        {
            if (who.state != member_state::silent &&
                is_due(now, "silent " + std::to_string(who.id)))
            {
                changes.emplace_back(set_member_state{who.id, member_state::silent});
            }
        }
        else if (is_due(now, "retire " + std::to_string(who.id)))
        {
            changes.emplace_back(retire_member{who.id});
        }
        return;
    }
    const auto lease = leases_.find(who.name);
    if (lease == leases_.end() || lease->second.report.member != who.id ||
        lease->second.report.state == who.state)
    {
        return;
    }
    if (lease->second.report.held < who.changed_at)
    {
        return; // Sent before the member's last change, so it may be older than that.
    }
    if (is_due(now, "state " + std::to_string(who.id)))
    {
        changes.emplace_back(set_member_state{who.id, lease->second.report.state});
    }
}

void lease_table::collect_releases(time_point now, const cluster_state& state,
                                   const daemon_report& report, std::vector<change>& changes)
{
    const auto who = state.data().members.find(report.member);
    if (report.released.empty() || who == state.data().members.end())
    {
        return;
    }
    const service_state* service = state.find_service(who->second.service);
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
        if (now - entry.heard < lease_)
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
