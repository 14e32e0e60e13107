#pragma once

#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <atomic>
#include <cstdint>

namespace carawayshelf
{

/** Why a balancer or an agent dropped a packet. */
enum class packet_drop
{
    malformed,
    no_route,    ///< No route, and the own table may be too old to say so.
    no_member,   ///< The route has no member to send it to.
    lost_flow,   ///< A member didn't answer for it, or the own table may be too old.
    client_gone, ///< It had left before there was room.
    send_failed,
    no_table, ///< It came before the first table, and that took too long.
    too_late, ///< An opening that waited for the first table found no room.
    too_many_inquiries
};

inline constexpr name_table<packet_drop, 9> packet_drop_names{
    {"malformed", "no_route", "no_member", "lost_flow", "client_gone", "send_failed", "no_table",
     "too_late", "too_many_inquiries"}};

/** Why a flow was reset. */
enum class packet_reset
{
    no_route,
    refused,    ///< No member could take the new flow.
    nowhere,    ///< Every member has returned it.
    lost_member ///< So have all but those that control marks silent and that don't answer.
};

inline constexpr name_table<packet_reset, 4> packet_reset_names{
    {"no_route", "refused", "nowhere", "lost_member"}};

/** Why an agent passed a packet on to the next candidate. */
enum class forward_reason
{
    none,
    wrong_service,
    no_server, ///< Its backend server has not announced itself lately.
    draining,
    domain_out,
    not_settled, ///< Others may not have heard yet that it takes these flows.
    cold,
    full,
    failing, ///< Its backend server seems to fail what it gets.
    not_here ///< The backend server returned it.
};

inline constexpr name_table<forward_reason, 10> forward_reason_names{
    {"none", "wrong_service", "no_server", "draining", "domain_out", "not_settled", "cold", "full",
     "failing", "not_here"}};

/** Counters of a packet balancer or packet agent; any thread may read them. */
struct packet_counters
{
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> relayed{0};
    std::atomic<std::uint64_t> replies{0};
    std::atomic<std::uint64_t> placed{0};    ///< New flows.
    std::atomic<std::uint64_t> searched{0};  ///< Packets of flows that were not in the cache.
    std::atomic<std::uint64_t> probes{0};    ///< Of agents, by a balancer.
    std::atomic<std::uint64_t> inquiries{0}; ///< Flows that an agent looked for at all members.
    counter_set<packet_envelope_kind, packet_envelope_kind_names.size()> sent_envelopes;
    counter_set<packet_envelope_kind, packet_envelope_kind_names.size()> sent_envelope_bytes;
    counter_set<packet_drop, packet_drop_names.size()> drops;
    counter_set<packet_reset, packet_reset_names.size()> resets;
    counter_set<forward_reason, forward_reason_names.size()> forwards;
};

} // namespace carawayshelf
