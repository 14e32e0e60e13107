#pragma once

#include "carawayshelf_consensus/log_store.hpp"
#include "carawayshelf_consensus/replicated_log.hpp"
#include "carawayshelf_consensus/voter_quorum.hpp"
#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawayshelf
{

/** Timing and batch limits of consensus_core. */
struct consensus_settings
{
    duration heartbeat_interval = std::chrono::milliseconds(50);
    /** Lower bound; each timeout is random between this and twice this. */
    duration election_timeout = std::chrono::milliseconds(300);
    /** Election timeout of the first voter in the startup phase. It can be short: an existing
        leader is not deposed, since the voters that hear it refuse the pre-vote. */
    duration startup_election_timeout = std::chrono::milliseconds(30);
    /** Added to the startup election timeout for each voter before this one in the list. About the
        duration of an election, so that voters that start at the same moment, as after a power
        failure, don't split the vote. */
    duration startup_election_stagger = std::chrono::milliseconds(20);
    /** Time after a start in which the startup timeouts apply; ends early when a leader is heard.
     */
    duration startup_phase = std::chrono::seconds(1);
    /** Records in one append message. */
    std::size_t max_append_records = 1024;
    /** Payload bytes in one append message; a single larger record is sent alone. */
    std::size_t max_append_bytes = std::size_t{4} * 1024 * 1024;
};

enum class consensus_role
{
    follower,
    candidate,
    leader
};

inline constexpr name_table<consensus_role, 3> consensus_role_names{
    {"follower", "candidate", "leader"}};

/** Identifies a read that waits until a quorum has confirmed the leader. */
using read_id = std::uint64_t;

/** Work for the driver, to be done in this order: install the snapshot, save the hard state, append
    the records, sync, call consensus_core::persisted(), send the messages, apply the committed
    records and answer the reads. */
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

/** The Raft server of one control instance, as a state machine that performs no I/O.

    Drive it with tick(), receive(), propose() and request_read(). After each call, carry out what
    take_output() returns until that is empty. Not thread-safe.

    A change of the voters takes a quorum of the old voters and one of the new ones, in elections as
    well, until the instance knows that the change is committed (Raft's joint consensus). The leader
    then repeats the new voters in a record, so that an instance that restarts knows it too. What a
    quorum is depends on the voters whose disks are known to be lost; see voter_quorum.hpp. These
    count once all voters have shown that their build counts them.

    An instance that is not a voter starts no election, with one exception: one that a record which
    may be uncommitted removes. Its log may be newer than those of the voters that don't have the
    record, so that none of them wins without its vote, which it doesn't give. It can win by the
    votes of the others, commits the record and steps down. The leader replicates the log to other
    instances after add_learner().
*/
class consensus_core
{
public:
    /** Precondition: stored is what log_store::load() returned, and its identity is not zero. */
    consensus_core(const consensus_settings& settings, const stored_state& stored,
                   std::uint64_t random_seed, time_point now);

    /** Makes an instance with an empty log the only voter of a new cluster. Returns false, and
        changes nothing, if it already has records, voters or a term. */
    bool bootstrap(time_point now);

    /** Runs the heartbeat and election timers. Call at least once per heartbeat interval. */
    void tick(time_point now);

    /** Handles a message. A message to another instance is ignored. */
    void receive(time_point now, const message& received);

    /** Proposes a payload. Returns its index, or nothing if this instance is not the leader. The
        payload is accepted only when a record with this index and the term of the proposal is
        returned as committed. */
    std::optional<log_index> propose(time_point now, std::string payload);

    /** Proposes a voter list that adds or removes one voter. Returns false, and changes nothing, if
        this instance is not the leader, if it has not committed the previous voter list and a
        record of its term, if the list is empty, or if not exactly one voter changes. */
    bool propose_voters(time_point now, const std::vector<instance_id>& voters);

    /** Requests a linearizable read of everything committed so far. The id is returned in
        confirmed_reads, or in failed_reads if this instance is not the leader. */
    read_id request_read(time_point now);

    /** Starts replication to an instance that is not a voter. Has no effect unless this instance is
        the leader; a leader that steps down discards its learners. */
    void add_learner(instance_id learner);

    /** Notes that the disk of another identity is lost, so that this identity never acts again. Has
        no effect if too many are known. Precondition: an instance without that disk has run in its
        slot. */
    void note_loss(instance_id lost);

    /** Returns and clears the work that has accumulated since the last call. */
    consensus_output take_output();

    /** Reports that the last output is synced. */
    void persisted(time_point now);

    /** Reports that the driver stored a snapshot, and discards the records that it covers. */
    void compact(const snapshot& taken);

    consensus_role role() const
    {
        return role_;
    }

    instance_id identity() const
    {
        return identity_;
    }

    /** Returns the known leader, or zero. */
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

    /** Returns the newest voters in the log and, while their change may be uncommitted, those that
        were voters before. */
    std::vector<instance_id> deciding_voters() const;

    /** Whether the newest voter list in the log includes this instance. */
    bool is_voter() const;

    /** Whether there is an active leader: this instance, if it heard from a quorum within the
        election timeout, or another one that it heard from within that time. */
    bool has_active_leader(time_point now) const;

    /** Whether there is an active leader and this instance knows that a record of the current term
        is committed, and so all records committed in earlier terms. */
    bool is_current(time_point now) const;

    /** Index of the last record that a follower is known to hold (Raft's matchIndex); zero if
        unknown. Valid only on the leader. */
    log_index match_index_of(instance_id follower) const;

    /** Whether this instance heard from a follower or learner within the election timeout. Valid
        only on the leader. */
    bool is_live(time_point now, instance_id follower) const;

    /** Returns the voters heard from within the election timeout, including this instance. Valid
        only on the leader. */
    std::vector<instance_id> live_voters(time_point now) const;

    /** Returns the voters heard from within two heartbeat intervals, including this instance. Valid
        only on the leader. */
    std::vector<instance_id> answering_voters(time_point now) const;

private:
    struct follower_progress
    {
        log_index next_index = 1;
        log_index match_index = 0;
        log_index sent_commit_index = 0; ///< Commit index in the last append.
        bool awaiting_reply = false;     ///< No reply to the last append yet.
        bool snapshot_in_flight = false; ///< Resent after snapshot_resend_interval.
        time_point sent_at;
        time_point heard_at;
        std::uint64_t confirmed_round = 0; ///< Latest round that it replied to.
        /** As of its last reply, by which it agreed once more to all that it had confirmed. */
        std::set<instance_id> known_losses;
        bool counts_losses = false;
    };

    struct pending_read
    {
        read_id id = 0;
        std::uint64_t round = 0; ///< Confirmed once a quorum replied to this round.
    };

    void become_follower(time_point now, term_number term, instance_id leader);
    bool may_start_election() const;
    void start_pre_vote(time_point now);
    void start_election(time_point now);
    void become_leader(time_point now);
    bool is_heard_within(time_point now, instance_id follower, duration span) const;
    std::vector<instance_id> voters_heard_within(time_point now, duration span) const;
    void send(message value);
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
    log_index highest_agreed_index() const;
    void raise_commit_index(log_index index);
    void confirm_reads();
    void fail_reads();
    void allow_resends(time_point now);
    void check_quorum(time_point now);
    bool is_candidate_log_up_to_date(const message& received) const;
    bool has_recent_leader(time_point now) const;
    bool is_in_startup_phase(time_point now) const;
    void reset_election_timer(time_point now);
    std::size_t rank_among_voters() const;
    void request_votes(message_kind kind, term_number term);
    message reply_to(const message& received, message_kind kind) const;
    std::uint64_t next_random();

    // Voters and quorums, in consensus_core_voters.cpp.
    std::vector<voter_list> voter_lists() const;
    agreement collect_agreement(const std::function<bool(const follower_progress&)>& agrees) const;
    agreement live_agreement(time_point now) const;
    bool is_quorum(const agreement& agreeing) const;
    bool all_count_losses(const std::vector<instance_id>& voters) const;
    void repeat_voters(time_point now);

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
    agreement votes_;
    std::set<instance_id> known_losses_;

    log_index commit_index_ = 0;
    log_index last_applied_ = 0;
    log_index persisted_index_ = 0;   ///< Last record known to be synced.
    log_index last_output_index_ = 0; ///< Last record returned by take_output().
    log_index term_start_index_ = 0;  ///< No-op record of the term that this instance leads.
    std::map<instance_id, follower_progress> followers_;
    std::set<instance_id> learners_;
    std::uint64_t round_ = 0;
    read_id last_read_id_ = 0;
    std::vector<pending_read> reads_;
    consensus_output output_;
};

} // namespace carawayshelf
