#pragma once

#include "carawayshelf_consensus/log_store.hpp"
#include "carawayshelf_consensus/replicated_log.hpp"
#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawayshelf
{

/** Timing and batch limits of the consensus. */
struct consensus_settings
{
    duration heartbeat_interval = std::chrono::milliseconds(50);
    duration election_timeout = std::chrono::milliseconds(300); ///< Up to twice this, at random.
    /** The same right after a start, for the first of the voters: a leader that is there is not
        deposed, since those who hear it refuse their pre-vote. */
    duration startup_election_timeout = std::chrono::milliseconds(30);
    /** How much longer each next voter waits then: about an election, so that voters that all start
        at the same moment, as after a loss of power, don't split the votes. */
    duration startup_election_stagger = std::chrono::milliseconds(20);
    duration startup_phase = std::chrono::seconds(1); ///< How long that holds after a start.
    std::size_t max_append_records = 1024;            ///< Records in one append.
    std::size_t max_append_bytes = std::size_t{4} * 1024 * 1024; ///< Payload bytes in one append.
};

enum class consensus_role
{
    follower,
    candidate,
    leader
};

inline constexpr name_table<consensus_role, 3> consensus_role_names{
    {"follower", "candidate", "leader"}};

/** Number that a read waits under until a quorum has confirmed the leader. */
using read_id = std::uint64_t;

/** What the driver has to do, in this order: install the snapshot, save the hard state, append the
    records, sync, call consensus_core::persisted(), send the messages, apply the committed records
    and answer the reads. */
struct consensus_output
{
    std::optional<snapshot> install;
    std::optional<hard_state> hard;
    std::vector<log_record> append;
    std::vector<message> messages;
    std::vector<log_record> committed;
    std::vector<read_id> confirmed_reads;
    std::vector<read_id> failed_reads;

    bool needs_sync() const
    {
        return hard.has_value() || !append.empty() || install.has_value();
    }

    bool is_empty() const
    {
        return !needs_sync() && messages.empty() && committed.empty() && confirmed_reads.empty() &&
               failed_reads.empty();
    }
};

/** The consensus of one control instance, as a state machine without input or output.

    Drive it with tick(), receive(), propose() and request_read(); after each, carry out what
    take_output() returns until that is empty. Not thread-safe.

    An instance that is not among the voters never stands for election, and its vote counts for
    nobody whose log doesn't name it; it becomes a learner when the leader is told of it by
    add_learner().
*/
class consensus_core
{
public:
    /** Precondition: stored holds what the store loaded; its identity is not zero. */
    consensus_core(const consensus_settings& settings, const stored_state& stored,
                   std::uint64_t random_seed, time_point now);

    /** Makes an instance with an empty log the only voter of a new cluster. Returns false, and
        changes nothing, if it holds anything already. */
    bool bootstrap(time_point now);

    /** Lets time pass. Call at least as often as the heartbeat. */
    void tick(time_point now);

    void receive(time_point now, const message& received);

    /** Proposes a payload. Returns its index, or nothing when this instance doesn't lead. The
        payload is accepted only once it comes back as committed with the same index and term. */
    std::optional<log_index> propose(time_point now, std::string payload);

    /** Adds or removes one voter. Returns false when this instance doesn't lead, when a change
        before is not committed yet, or when more than one voter would change. */
    bool propose_voters(time_point now, const std::vector<instance_id>& voters);

    /** Asks for a read of everything committed so far. The ticket comes back as confirmed, or as
        failed when this instance turns out not to lead. */
    read_id request_read(time_point now);

    /** Sends the log to an instance that is no voter. Only the leader keeps learners. */
    void add_learner(instance_id learner);

    consensus_output take_output();

    /** Tells that everything of the last output is synced. */
    void persisted(time_point now);

    /** Tells that the driver stored a snapshot of everything applied so far. */
    void compact(const snapshot& taken);

    consensus_role role() const
    {
        return role_;
    }

    instance_id identity() const
    {
        return identity_;
    }

    instance_id leader() const
    {
        return leader_;
    }

    term_number term() const
    {
        return hard_state_.term;
    }

    log_index commit_index() const
    {
        return commit_index_;
    }

    const replicated_log& log() const
    {
        return log_;
    }

    bool is_voter() const;

    /** Whether a leader that a quorum hears is known: this instance, or one that it heard from
        within the election timeout. */
    bool has_active_leader(time_point now) const;

    /** Whether this instance is in touch and has committed a record of the present term, and so
        everything that was committed before that term. */
    bool is_current(time_point now) const;

    /** Last record that a follower is known to hold; zero when unknown. Only for the leader. */
    log_index match_index_of(instance_id follower) const;

    /** Voters heard from within the election timeout, this instance included. Only for the leader.
     */
    std::vector<instance_id> live_voters(time_point now) const;

    /** Voters that have answered the last two heartbeats or one of them, this instance included.
        Only for the leader. */
    std::vector<instance_id> answering_voters(time_point now) const;

private:
    struct follower_progress
    {
        log_index next_index = 1;
        log_index match_index = 0;
        log_index sent_commit_index = 0; ///< Commit index of the last append.
        bool awaiting_reply = false;     ///< An append is under way.
        bool snapshot_in_flight = false; ///< A snapshot is under way; it is not sent again at once.
        time_point sent_at;
        time_point heard_at;
        std::uint64_t confirmed_round = 0;
    };

    struct pending_read
    {
        read_id id = 0;
        std::uint64_t round = 0;
    };

    void become_follower(time_point now, term_number term, instance_id leader);
    void start_pre_vote(time_point now);
    void start_election(time_point now);
    void become_leader(time_point now);
    std::vector<instance_id> voters_heard_within(time_point now, duration span) const;
    void broadcast_append(time_point now);
    void send_append(time_point now, instance_id to, follower_progress& progress);
    void send_snapshot(instance_id to, follower_progress& progress);
    void handle_vote_reply(time_point now, const message& received);
    void handle_vote_request(time_point now, const message& received);
    void handle_append(time_point now, const message& received);
    void handle_append_reply(time_point now, const message& received);
    void handle_install_snapshot(time_point now, const message& received);
    void store_records(const std::vector<log_record>& records);
    void append_as_leader(log_record record);
    void advance_commit(time_point now);
    void raise_commit_index(log_index index);
    void confirm_reads();
    void fail_reads();
    void allow_resends(time_point now);
    void check_quorum(time_point now);
    bool is_log_up_to_date(const message& received) const;
    bool has_recent_leader(time_point now) const;
    bool is_quorum(std::size_t count) const;
    bool is_in_startup_phase(time_point now) const;
    void reset_election_timer(time_point now);
    std::size_t rank_among_voters() const;
    void request_votes(message_kind kind, term_number term);
    message reply_to(const message& received, message_kind kind) const;
    std::uint64_t next_random();

    consensus_settings settings_;
    instance_id identity_;
    hard_state hard_state_;
    hard_state saved_hard_state_;
    replicated_log log_;
    std::uint64_t random_;

    consensus_role role_ = consensus_role::follower;
    instance_id leader_ = 0;
    time_point leader_heard_at_;
    time_point started_at_;
    time_point election_deadline_;
    time_point heartbeat_deadline_;
    bool in_pre_vote_ = false;
    std::set<instance_id> votes_;

    log_index commit_index_ = 0;
    log_index last_applied_ = 0;
    log_index persisted_index_ = 0;
    log_index last_output_index_ = 0;
    log_index term_start_index_ = 0;
    std::map<instance_id, follower_progress> followers_;
    std::set<instance_id> learners_;
    std::uint64_t round_ = 0;
    read_id last_read_id_ = 0;
    std::vector<pending_read> reads_;
    consensus_output output_;
};

} // namespace carawayshelf
