#pragma once

#include "carawayshelf_core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Identity of a control instance. It is stored on the instance's disk, and generated when the data
    folder is created. Zero means "none". */
using instance_id = std::uint64_t;

using log_index = std::uint64_t;
using term_number = std::uint64_t;

/** Kind of a log record. */
enum class record_kind
{
    no_op,     ///< Appended by a new leader, to commit the records of earlier terms.
    payload,   ///< A change of the replicated state.
    membership ///< The voters from this record on.
};

/** One record of the replicated log (Raft: a log entry). */
struct log_record
{
    log_index index = 0;
    term_number term = 0;
    record_kind kind = record_kind::no_op;
    std::string payload;             ///< For record_kind::payload.
    std::vector<instance_id> voters; ///< For record_kind::membership.
    /** For record_kind::membership: the builds of all voters count losses; see voter_quorum.hpp. */
    bool counts_losses = false;
};

/** Raft's persistent state apart from the log. It must be durable before a message that depends on
    it is sent. */
struct hard_state
{
    term_number term = 0;      ///< Current term.
    instance_id voted_for = 0; ///< Candidate voted for in this term, or zero.
};

inline bool operator==(const hard_state& a, const hard_state& b)
{
    return a.term == b.term && a.voted_for == b.voted_for;
}

/** A snapshot: the replicated state after all records up to an index, which it replaces. */
struct snapshot
{
    log_index index = 0;             ///< Last record that the snapshot includes.
    term_number term = 0;            ///< Term of that record.
    std::vector<instance_id> voters; ///< Voters as of that record.
    std::string state;               ///< Encoded replicated state.
    bool counts_losses = false;      ///< As in the record that lists the voters.
};

enum class message_kind
{
    pre_vote,
    pre_vote_reply,
    vote,
    vote_reply,
    append,
    append_reply,
    install_snapshot
};

inline constexpr name_table<message_kind, 7> message_kind_names{
    {"pre_vote", "pre_vote_reply", "vote", "vote_reply", "append", "append_reply",
     "install_snapshot"}};

/** A Raft message between two control instances. */
struct message
{
    message_kind kind = message_kind::append;
    instance_id from = 0;
    instance_id to = 0;
    term_number term = 0;
    log_index index = 0;        ///< Raft's lastLogIndex (votes) or prevLogIndex (append).
    term_number index_term = 0; ///< Term of that record.
    log_index commit = 0;       ///< Raft's leaderCommit (append).
    bool accepted = false;      ///< In replies: the vote was granted or the append succeeded.
    /** In append replies: the follower's last matching record if accepted, or else the last one
        that may match. */
    log_index hint = 0;
    /** Heartbeat round of the leader. Replies echo it, which confirms reads. */
    std::uint64_t round = 0;
    std::vector<log_record> records;
    snapshot installed; ///< For install_snapshot.
    /** Identities whose disks the sender knew to be lost when it sent this. */
    std::vector<instance_id> known_losses;
    bool counts_losses = false; ///< The sender's build does, see voter_quorum.hpp.
};

} // namespace carawayshelf
