#pragma once

#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** Why a request was refused with a true "not run". */
enum class refusal_reason
{
    queue_full,
    server_cold,
    draining,
    domain_out,
    deadline_passed,
    flow_limit,
    server_down
};

inline constexpr name_table<refusal_reason, 7> refusal_reason_names{
    {"queue_full", "server_cold", "draining", "domain_out", "deadline_passed", "flow_limit",
     "server_down"}};

/** Why an agent dropped a datagram without an answer. */
enum class agent_drop
{
    malformed_envelope,
    wrong_service,
    malformed_message,
    unexpected_message,
    no_owner,
    too_many_hops,
    next_unknown,
    no_flow,
    unmatched_answer,
    duplicate_in_flight,
    unconfirmed
};

inline constexpr name_table<agent_drop, 11> agent_drop_names{
    {"malformed_envelope", "wrong_service", "malformed_message", "unexpected_message", "no_owner",
     "too_many_hops", "next_unknown", "no_flow", "unmatched_answer", "duplicate_in_flight",
     "unconfirmed"}};

/** Why a datagram or an answer took another turn. */
enum class agent_retry
{
    passed_to_owner,
    passed_to_earlier,
    placed_on_second,
    passed_by_pointer,
    answered_from_memory,
    echo_asked,
    outcome_unknown,
    reset_sent,
    feed_ended,
    queued
};

inline constexpr name_table<agent_retry, 10> agent_retry_names{
    {"passed_to_owner", "passed_to_earlier", "placed_on_second", "passed_by_pointer",
     "answered_from_memory", "echo_asked", "outcome_unknown", "reset_sent", "feed_ended",
     "queued"}};

/** Everything an agent counts. Each datagram that arrives in an envelope is counted once as
    received, and once as relayed, answered, passed on or dropped. Thread-safe to read. */
struct agent_counters
{
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> relayed{0};  ///< Given to the backend server, or queued for it.
    std::atomic<std::uint64_t> answered{0}; ///< Answered by the agent itself.
    std::atomic<std::uint64_t> passed{0};   ///< Passed to another agent.
    std::atomic<std::uint64_t> dropped{0};  ///< Dropped on arrival, by reason below.
    std::atomic<std::uint64_t> run{0};      ///< Requests given to the backend server.
    std::atomic<std::uint64_t> served{0};   ///< Requests that the backend server answered.
    counter_set<refusal_reason, 7> refusals;
    counter_set<agent_drop, 11> drops;
    counter_set<agent_retry, 10> retries;
};

} // namespace carawayshelf
