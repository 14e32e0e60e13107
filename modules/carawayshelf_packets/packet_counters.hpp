#pragma once

#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_core/counter_set.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_overload/forward_reason.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace carawayshelf
{

/** Why a balancer or an agent dropped a packet. */
enum class packet_drop
{
    malformed,
    no_route,    ///< There is no route, but the table may be too old to reset the flow.
    no_member,   ///< The route has no member that can get the packet.
    lost_flow,   ///< An inquiry timed out: a member didn't answer, or the table may be too old.
    client_gone, ///< The client had given up before there was room for its flow.
    send_failed,
    no_table, ///< It arrived before the first table, and was too old or exceeded the memory limit.
    too_late, ///< An opening packet that no member could admit, and that is too old for a reset.
    too_many_inquiries
};

inline constexpr name_table<packet_drop, 9> packet_drop_names{
    {"malformed", "no_route", "no_member", "lost_flow", "client_gone", "send_failed", "no_table",
     "too_late", "too_many_inquiries"}};

/** Why a flow was reset. */
enum class packet_reset
{
    no_route,
    refused, ///< No member could admit the new flow.
    nowhere  ///< Every member has returned the packet.
};

inline constexpr name_table<packet_reset, 3> packet_reset_names{{"no_route", "refused", "nowhere"}};

/** Why an agent refused a new flow by a reset. */
enum class opening_refusal
{
    no_turn,   ///< By its estimate, the flow is not served before its client gives up.
    max_flows, ///< Its backend server holds the maximum number of flows.
    consent    ///< All members agreed.
};

inline constexpr name_table<opening_refusal, 3> opening_refusal_names{
    {"no_turn", "max_flows", "consent"}};

/** Counters of a packet balancer or a packet agent. Thread-safe. */
struct packet_counters
{
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> relayed{0};
    std::atomic<std::uint64_t> replies{0};
    std::atomic<std::uint64_t> placed{0};    ///< New flows.
    std::atomic<std::uint64_t> searched{0};  ///< Packets of flows that were not in the flow cache.
    std::atomic<std::uint64_t> probes{0};    ///< Probes that a balancer sent to agents.
    std::atomic<std::uint64_t> inquiries{0}; ///< Inquiries to all members of a route.
    counter_set<packet_envelope_kind, packet_envelope_kind_names.size()> sent_envelopes;
    counter_set<packet_envelope_kind, packet_envelope_kind_names.size()> sent_envelope_bytes;
    counter_set<packet_drop, packet_drop_names.size()> drops;
    counter_set<packet_reset, packet_reset_names.size()> resets;
    counter_set<forward_reason, forward_reason_names.size()> forwards;
    /** Refused flows, by request class of their route. */
    std::array<counter_set<opening_refusal, opening_refusal_names.size()>,
               request_class_names.size()>
        refusals;

    void count_refusal(opening_refusal reason, request_class requests)
    {
        refusals[static_cast<std::size_t>(requests)].add(reason);
    }
};

} // namespace carawayshelf
