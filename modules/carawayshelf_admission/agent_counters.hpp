#pragma once

#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** Why a request was refused. A refused request was certainly not run. */
enum class refusal_reason
{
    queue_full,
    server_cold, ///< The queue is full, and the start ramp limits the rate.
    draining,
    domain_out,
    deadline_passed,
    flow_limit,
    server_down
};

inline constexpr name_table<refusal_reason, 7> refusal_reason_names{
    {"queue_full", "server_cold", "draining", "domain_out", "deadline_passed", "flow_limit",
     "server_down"}};

/** Why an agent dropped a datagram without answering it. */
enum class agent_drop
{
    malformed_envelope,
    wrong_service,
    malformed_message,
    unexpected_message,
    no_owner,
    too_many_hops,
    next_unknown,        ///< The address of the member to forward to is unknown.
    no_flow,             ///< Not a request, and the agent does not hold its flow.
    unmatched_answer,    ///< From the backend server; matches no request and no observation.
    duplicate_in_flight, ///< Of a request that has not been answered yet.
    unconfirmed          ///< The agent waits for a table from control, or is about to stop.
};

inline constexpr name_table<agent_drop, 11> agent_drop_names{
    {"malformed_envelope", "wrong_service", "malformed_message", "unexpected_message", "no_owner",
     "too_many_hops", "next_unknown", "no_flow", "unmatched_answer", "duplicate_in_flight",
     "unconfirmed"}};

/** Events in which a datagram was not passed directly to the backend server, or the agent itself
    sent an answer or a notification. */
enum class agent_retry
{
    passed_to_owner,      ///< Forwarded to the owner of the bucket.
    passed_to_earlier,    ///< Forwarded to an earlier owner of the bucket.
    placed_on_second,     ///< A new flow was placed on the second choice.
    passed_by_pointer,    ///< Forwarded to the agent on which the flow was placed.
    answered_from_memory, ///< A duplicate got the cached answer.
    echo_asked,           ///< The caller was asked to repeat the request with an Echo value.
    outcome_unknown,      ///< Answered "outcome unknown".
    reset_sent,
    feed_ended, ///< The agent ended an observation.
    queued      ///< The request had to wait for the backend server.
};

inline constexpr name_table<agent_retry, 10> agent_retry_names{
    {"passed_to_owner", "passed_to_earlier", "placed_on_second", "passed_by_pointer",
     "answered_from_memory", "echo_asked", "outcome_unknown", "reset_sent", "feed_ended",
     "queued"}};

/** Counters of an agent. Each datagram that arrives in an envelope is counted once as received, and
    once as relayed, answered, passed or dropped. Thread-safe to read. */
struct agent_counters
{
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> relayed{0};  ///< Sent to the backend server, or queued for it.
    std::atomic<std::uint64_t> answered{0}; ///< Answered by the agent on arrival.
    std::atomic<std::uint64_t> passed{0};   ///< Forwarded to another agent.
    std::atomic<std::uint64_t> dropped{0};  ///< Dropped on arrival in an envelope.
    std::atomic<std::uint64_t> run{0};      ///< Requests sent to the backend server.
    std::atomic<std::uint64_t> served{0};   ///< Requests that the backend server answered.
    counter_set<refusal_reason, 7> refusals;
    counter_set<agent_drop, 11> drops; ///< Also counts dropped datagrams of the backend server.
    counter_set<agent_retry, 10> retries;
};

} // namespace carawayshelf
