#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_steering/flow_key.hpp"
#include "carawayshelf_steering/routing_table.hpp"
#include "carawayshelf_steering/steering_rules.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** Purpose of an envelope. */
enum class envelope_kind : std::uint8_t
{
    to_agent,   ///< A caller's datagram, sent towards the agent that holds its flow.
    placed,     ///< A caller's datagram, sent by the bucket's owner to the second choice.
    not_placed, ///< A placed datagram, returned because the second choice has a newer row.
    to_caller,  ///< A datagram for the caller, sent through a balancer.
    load_hint   ///< No datagram; reports an agent's load to another agent.
};

inline constexpr name_table<envelope_kind, 5> envelope_kind_names{
    {"to_agent", "placed", "not_placed", "to_caller", "load_hint"}};

/** Header in front of a datagram relayed between balancers and agents. */
struct envelope
{
    envelope_kind kind = envelope_kind::to_agent;
    flow_key flow;
    endpoint reply_to;               ///< Balancer that forwards replies to the caller.
    generation table_generation = 0; ///< Newest table generation of the senders so far.
    generation row_generation = 0;   ///< Generation that last changed the bucket's row.
    /** Owner of the bucket; in a load_hint the sending agent. tenure_from is sent for this member
        only. */
    member_address owner;
    std::array<member_address, max_earlier_owners> earlier{};
    std::uint8_t earlier_count = 0;
    std::array<visit, max_hops> visits{};
    std::uint8_t visit_count = 0;
    std::uint8_t hops = 0;         ///< Times the datagram was forwarded between agents.
    std::uint32_t sender_load = 0; ///< Number of flows held by the sending agent.
};

/** Why decode_envelope() rejected an envelope. */
enum class envelope_fault
{
    none,
    too_short,
    wrong_magic,
    bad_counts,
    unknown_kind
};

inline constexpr name_table<envelope_fault, 5> envelope_fault_names{
    {"none", "too_short", "wrong_magic", "bad_counts", "unknown_kind"}};

/** Maximum size of an encoded envelope. */
constexpr std::size_t max_envelope_bytes =
    64 + max_earlier_owners * 12 + std::size_t{max_hops} * 16;

/** Encodes an envelope and returns its size in bytes. Precondition: the buffer has room for
    max_envelope_bytes. Thread-safe; allocates no memory. */
std::size_t encode_envelope(const envelope& value, std::uint8_t* buffer);

/** Decodes an envelope and sets header_size to the offset of the datagram behind it. Thread-safe;
    allocates no memory. */
envelope_fault decode_envelope(const std::uint8_t* data, std::size_t size, envelope& value,
                               std::size_t& header_size);

} // namespace carawayshelf
