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

/** What a relayed datagram is for. */
enum class envelope_kind : std::uint8_t
{
    to_agent,   ///< A caller's datagram on its way to the agent that holds its flow.
    placed,     ///< The same, placed by the bucket's owner on its second choice.
    not_placed, ///< The same on its way back: the second choice holds a newer row.
    to_caller,  ///< A datagram on its way to the caller, through a balancer.
    load_hint   ///< No datagram: an agent tells another how loaded it is.
};

inline constexpr name_table<envelope_kind, 5> envelope_kind_names{
    {"to_agent", "placed", "not_placed", "to_caller", "load_hint"}};

/** The header that travels in front of a relayed datagram. */
struct envelope
{
    envelope_kind kind = envelope_kind::to_agent;
    flow_key flow;
    endpoint reply_to;               ///< Balancer that answers should go through.
    generation table_generation = 0; ///< Generation that the sender holds.
    generation row_generation = 0;   ///< Generation of the bucket's row below.
    member_address owner;            ///< The only member whose tenure travels along.
    std::array<member_address, max_earlier_owners> earlier{};
    std::uint8_t earlier_count = 0;
    std::array<visit, max_hops> visits{};
    std::uint8_t visit_count = 0;
    std::uint8_t hops = 0;
    std::uint32_t sender_load = 0; ///< Flows that the sending agent holds.
};

/** Why an envelope was dropped. */
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

/** Most bytes that an encoded envelope takes. */
constexpr std::size_t max_envelope_bytes =
    64 + max_earlier_owners * 12 + std::size_t{max_hops} * 16;

/** Writes an envelope and returns its length. Precondition: the buffer has max_envelope_bytes.
    Thread-safe; takes no memory. */
std::size_t encode_envelope(const envelope& value, std::uint8_t* buffer);

/** Reads an envelope; header_size tells where the datagram inside starts. Thread-safe; takes no
    memory. */
envelope_fault decode_envelope(const std::uint8_t* data, std::size_t size, envelope& value,
                               std::size_t& header_size);

} // namespace carawayshelf
