#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Kind of the daemon that holds a lease. */
enum class daemon_kind : std::uint8_t
{
    balancer,
    agent
};

inline constexpr name_table<daemon_kind, 2> daemon_kind_names{{"balancer", "agent"}};

/** What a daemon reports about itself with every heartbeat. */
struct daemon_report
{
    daemon_kind kind = daemon_kind::balancer;
    std::string name;
    std::string domain;
    member_id member = 0; ///< Of an agent whose backend server is announced; otherwise zero.
    generation held = 0;  ///< Generation that it has applied.
    member_state state = member_state::cold;
    std::vector<released_bucket> released;
};

/** The leader's table of leases: which daemons are live, which generation each holds, and which
    changes must be proposed because of that. A new leader starts with an empty table and waits a
    full lease for every member's first report. Not thread-safe; no I/O. */
class lease_table
{
public:
    /** @param lease  time after a daemon's last report until it counts as lost */
    explicit lease_table(duration lease);

    /** Clears the table, because this instance has just become the leader. */
    void start(time_point now);

    /** Notes that the state has reached a generation. The lease of an agent that doesn't hold it
        within a lease period is no longer renewed, so that no agent serves outdated bucket rows for
        long. */
    void note_generation(time_point now, generation reached);

    void note_report(time_point now, const daemon_report& report);

    /** Returns the changes to propose now: members to retire, states to set, buckets to release.
        Each is returned again after a delay, in case its proposal was lost. */
    std::vector<change> collect_changes(time_point now, const cluster_state& state);

    /** Last reports of the daemons with a valid lease. */
    std::vector<daemon_report> live(time_point now) const;

    /** Names of live daemons that don't hold a generation yet. */
    std::vector<std::string> lagging(time_point now, generation wanted) const;

private:
    struct lease_entry
    {
        daemon_report report;
        time_point last_heard;
    };

    bool is_too_far_behind(time_point now, generation held);
    bool is_due(time_point now, const std::string& key);
    void collect_member_changes(time_point now, const member& agent, std::vector<change>& changes);
    void collect_releases(time_point now, const cluster_state& state, const daemon_report& report,
                          std::vector<change>& changes);

    duration lease_;
    std::deque<std::pair<time_point, generation>> reached_generations_; ///< Oldest first.
    generation required_generation_ = 0; ///< Reached at least one lease ago.
    time_point started_at_;
    std::map<std::string, lease_entry> leases_;
    std::map<member_id, time_point> members_last_heard_;
    std::map<std::string, time_point> proposed_at_;
};

} // namespace carawayshelf
