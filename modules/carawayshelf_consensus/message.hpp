#pragma once

#include "carawayshelf_core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Identity of a control instance; it belongs to the disk and is minted when the data folder is
    made. Zero stands for "none". */
using instance_id = std::uint64_t;

using log_index = std::uint64_t;
using term_number = std::uint64_t;

/** What a log record holds. */
enum class record_kind
{
    no_op,     ///< Written by a new leader to commit what came before.
    payload,   ///< A change of the replicated state.
    membership ///< The voting instances from here on.
};

/** One record of the replicated log. */
struct log_record
{
    log_index index = 0;
    term_number term = 0;
    record_kind kind = record_kind::no_op;
    std::string payload;             ///< For record_kind::payload.
    std::vector<instance_id> voters; ///< For record_kind::membership.
};

/** What an instance must never forget: its term, and whom it voted for in it. */
struct hard_state
{
    term_number term = 0;
    instance_id voted_for = 0;
};

inline bool operator==(const hard_state& a, const hard_state& b)
{
    return a.term == b.term && a.voted_for == b.voted_for;
}

/** A state that stands for all records up to an index. */
struct snapshot
{
    log_index index = 0;
    term_number term = 0;
    std::vector<instance_id> voters;
    std::string state;
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

/** A message between two control instances. */
struct message
{
    message_kind kind = message_kind::append;
    instance_id from = 0;
    instance_id to = 0;
    term_number term = 0;
    log_index index = 0;        ///< Last record (votes), or the one before the records (append).
    term_number index_term = 0; ///< Term of that record.
    log_index commit = 0;       ///< Committed by the leader (append).
    bool accepted = false;      ///< In replies.
    log_index hint = 0;         ///< Follower's last matching (accepted) or last possible record.
    std::uint64_t round = 0;    ///< Heartbeat round, echoed in replies; confirms reads.
    std::vector<log_record> records;
    snapshot installed; ///< For install_snapshot.
};

} // namespace carawayshelf
