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

/** What kind of daemon holds a lease. */
enum class daemon_kind : std::uint8_t
{
    balancer,
    agent
};

inline constexpr name_table<daemon_kind, 2> daemon_kind_names{{"balancer", "agent"}};

/** What a daemon reports of itself with every heartbeat. */
struct daemon_report
{
    daemon_kind kind = daemon_kind::balancer;
    std::string name;
    std::string domain;
    member_id member = 0; ///< Of an agent whose server is announced, else zero.
    generation held = 0;  ///< Generation that it has put in force.
    member_state state = member_state::cold;
    std::vector<released_bucket> released;
};

/** The leases at the leader: who is live, what generation each holds, and which changes follow
    from that. A new leader starts with an empty table, and gives every member a whole lease to be
    heard of. Not thread-safe; no I/O. */
class lease_table
{
public:
    explicit lease_table(duration lease);

    /** This instance has just become the leader. */
    void start(time_point now);

    /** The state has reached a generation. An agent that doesn't hold it within a lease is not
        renewed, so none goes on for long on rows that others have left. */
    void note_generation(time_point now, generation reached);

    void note_report(time_point now, const daemon_report& report);

    /** Changes that should be proposed now: members to retire, states to set, buckets to release.
        Each is handed out again after a while, in case its proposal was lost. */
    std::vector<change> collect_changes(time_point now, const cluster_state& state);

    /** Daemons with a lease. */
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
    generation required_generation_ = 0; ///< Reached a whole lease ago.
    time_point started_at_;
    std::map<std::string, lease_entry> leases_;
    std::map<member_id, time_point> members_last_heard_;
    std::map<std::string, time_point> proposed_at_;
};

} // namespace carawayshelf
