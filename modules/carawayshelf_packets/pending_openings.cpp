#include "carawayshelf_packets/pending_openings.hpp"

#include <algorithm>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>

namespace carawayshelf
{

namespace
{

/** Bounds the load by which members are compared. */
constexpr double max_compared_load_ahead = 0.9;

/** Service times from the admission of an opening to its answer: usually the server serves one
    other request before this one. */
constexpr int service_times_to_answer = 2;

} // namespace

pending_openings::pending_openings(shortage_mode mode, const packet_format& format,
                                   opening_actions& actions, packet_counters& counters,
                                   packet_observer& observer)
    : mode_(mode), format_(format), actions_(actions), counters_(counters), observer_(observer),
      queue_(mode == shortage_mode::refuse ? opening_order::priority_first
                                           : opening_order::in_time_first)
{
}

std::uint32_t pending_openings::load_ahead(time_point now, std::uint32_t priority) const
{
    const std::uint32_t in_flight = actions_.capacity().requests_in_flight;
    if (mode_ == shortage_mode::queue)
    {
        return in_flight + static_cast<std::uint32_t>(queue_.size());
    }
    // By the total length of the queues, urgent openings would gather where most others are
    // refused, and 0.4 % of them came late in the lab instead of 0.02 %.
    const double more_urgent = in_server_units(offered_load_.rate_ahead(now, priority));
    const double load = static_cast<double>(in_flight + queue_.count_ahead(false, priority)) /
                        (1.0 - std::min(more_urgent, max_compared_load_ahead));
    return static_cast<std::uint32_t>(load);
}

void pending_openings::record_opening(time_point now, const packet_route& route)
{
    if (mode_ == shortage_mode::refuse)
    {
        offered_load_.record_opening(now, route.priority);
    }
}

bool pending_openings::handle_copy(time_point now, const packet_envelope& envelope,
                                   const packet_header& header)
{
    const packet_flow flow{header.source, header.destination};
    if (refused_flows_.contains(now, flow))
    {
        actions_.drop_packet(packet_drop::too_late, envelope, header);
        return true;
    }
    if (!queue_.record_retransmission(now, flow, header.acknowledged, envelope.waited))
    {
        return false;
    }
    actions_.notify_balancer(now, packet_envelope_kind::holder, flow, envelope);
    refuse_without_turn(now);
    return true;
}

void pending_openings::add(time_point now, const packet_envelope& envelope,
                           const packet_route& route, const client_packet& packet,
                           forward_reason reason)
{
    if (sheds(route))
    {
        add_or_shed(now, envelope, route, packet, reason);
        return;
    }
    // When a flow will end is not known, so a packet that needs another flow to end first is
    // refused at once.
    if (reason == forward_reason::max_flows || !queue(now, envelope, route, packet))
    {
        refuse_by_consent(now, envelope, route, packet);
    }
}

/** Queues an opening packet. Returns false, and does nothing, if it would be dropped there. */
bool pending_openings::queue(time_point now, const packet_envelope& envelope,
                             const packet_route& route, const client_packet& packet)
{
    const server_capacity server = actions_.capacity();
    const std::uint32_t retransmission = packet.header.acknowledged;
    const duration remaining =
        opening_timing::time_left(retransmission, std::chrono::milliseconds(route.timeout_ms)) -
        server.service_time;
    // A packet that waited for the first table is late already.
    const bool was_early = (envelope.flags & opening_flag_waited_for_table) != 0;
    const duration time_until_late =
        was_early ? duration(0)
                  : std::chrono::milliseconds(route.target_latency_ms) -
                        opening_timing::elapsed_at_retransmission(retransmission) -
                        server.service_time * service_times_to_answer;
    const std::size_t ahead =
        queue_.count_ahead(time_until_late <= duration(0), route.priority) + 1;
    const duration expected_wait =
        server.service_time * static_cast<std::int64_t>(ahead) / server.slots;
    if (expected_wait > remaining)
    {
        return false;
    }
    queued_opening opening{envelope,
                           packet.flow(),
                           std::string(packet.bytes()),
                           now + remaining,
                           now + time_until_late,
                           now + opening_timing::max_silence_after(retransmission),
                           now};
    enqueue(now, route.priority, std::move(opening));
    return true;
}

/** Queues an opening packet, or refuses it if it gets no turn before its client gives up. */
void pending_openings::add_or_shed(time_point now, const packet_envelope& envelope,
                                   const packet_route& route, const client_packet& packet,
                                   forward_reason reason)
{
    const server_capacity server = actions_.capacity();
    const std::uint32_t retransmission = packet.header.acknowledged;
    queued_opening opening{envelope, packet.flow(), std::string(packet.bytes()), {}, {}, {}, now};
    opening.client_gone_at = now + opening_timing::max_silence_after(retransmission);
    opening.can_be_refused = true;
    opening.copies.record(now, retransmission, envelope.waited);
    const time_point sent_at = opening.copies.sent_at();
    opening.deadline = sent_at - server.request_time +
                       std::min<duration>(std::chrono::milliseconds(route.timeout_ms),
                                          opening_timing::attempt_timeout);
    const bool was_early = (envelope.flags & opening_flag_waited_for_table) != 0;
    opening.late_at = was_early ? now
                                : sent_at + std::chrono::milliseconds(route.target_latency_ms) -
                                      server.request_time * service_times_to_answer;
    opening_outlook outlook;
    outlook.until_late = opening.late_at - now;
    outlook.until_given_up = opening.deadline - now;
    outlook.ahead = queue_.count_ahead(outlook.until_late <= duration(0), route.priority);
    outlook.ahead_if_late = queue_.count_ahead(true, route.priority);
    outlook.load_ahead = in_server_units(offered_load_.rate_ahead(now, route.priority));
    outlook.own_load = in_server_units(offered_load_.rate_of(now, route.priority));
    const service_rate rate{server.request_time, server.slots};
    const shortage_verdict verdict =
        reason == forward_reason::max_flows
            ? shortage_policy::judge_without_turn(now, opening.copies)
            : shortage_policy::judge(now, outlook, rate, opening.copies);
    const bool holds_max_flows = reason == forward_reason::max_flows;
    if (verdict == shortage_verdict::refuse)
    {
        offered_load_.record_refused_opening(now, route.priority, false);
        refuse_now(now, holds_max_flows ? opening_refusal::max_flows : opening_refusal::no_turn,
                   envelope, &route, packet.header);
    }
    else if (verdict == shortage_verdict::ask_members || holds_max_flows)
    {
        refuse_by_consent(now, envelope, route, packet);
    }
    else
    {
        if (outlook.until_late <=
            shortage_policy::estimated_wait(outlook.ahead, outlook.load_ahead, rate))
        {
            // It goes behind the openings that can be answered in time.
            opening.late_at = std::min(opening.late_at, now);
        }
        record_opening(now, route);
        enqueue(now, route.priority, std::move(opening));
        refuse_without_turn(now);
    }
}

void pending_openings::enqueue(time_point now, std::uint32_t priority, queued_opening opening)
{
    // So that the balancer sends retransmissions here.
    actions_.notify_balancer(now, packet_envelope_kind::holder, opening.flow, opening.envelope);
    queue_.add(now, priority, std::move(opening));
}

void pending_openings::admit(time_point now)
{
    drop_expired(now);
    while (!queue_.is_empty())
    {
        const server_capacity server = actions_.capacity();
        if (server.requests_in_flight >= server.max_requests)
        {
            return;
        }
        admit_or_forward(now, std::move(*queue_.take_next(now)));
    }
}

void pending_openings::admit_or_forward(time_point now, queued_opening next)
{
    if (now > next.client_gone_at)
    {
        counters_.drops.add(packet_drop::client_gone);
        return;
    }
    client_packet packet{{}, next.packet.data(), next.packet.size()};
    const packet_route* route = actions_.find_route(next.flow.service);
    if (!format_.decode(packet.bytes(), packet.header))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    if (route == nullptr)
    {
        actions_.reset_flow(packet_reset::no_route, next.envelope, packet.header);
        return;
    }
    // A packet taken from the queue never returns to it: that would repeat the loop forever.
    const packet_envelope envelope = next.envelope_at(now);
    const forward_reason reason = actions_.try_admit(now, envelope, *route, packet);
    if (reason == forward_reason::max_flows && next.can_be_refused &&
        next.copies.is_refusal_certain(now))
    {
        refuse_now(now, opening_refusal::max_flows, envelope, route, packet.header);
    }
    else if (reason != forward_reason::none)
    {
        actions_.forward(now, envelope, *route, packet, reason);
    }
    actions_.flush();
}

void pending_openings::refuse_by_consent(time_point now, const packet_envelope& envelope,
                                         const packet_route& route, const client_packet& packet)
{
    actions_.notify_balancer(now, packet_envelope_kind::load, {}, envelope);
    if (refusal_messages_left_ == 0 || !actions_.can_ask_members(now, route, packet.flow()))
    {
        actions_.drop_packet(packet_drop::too_late, envelope, packet.header);
        return;
    }
    refused_flows_.add(now, packet.flow());
    actions_.start_inquiry(now, envelope, route, packet);
}

/** Refuses the queued openings that get no turn any more, as far as a refusal is certain to be
    true. */
void pending_openings::refuse_without_turn(time_point now)
{
    if (mode_ != shortage_mode::refuse || queue_.is_empty())
    {
        return;
    }
    const server_capacity server = actions_.capacity();
    opening_outlook outlook;
    std::optional<std::uint32_t> measured_priority;
    const auto gets_no_turn =
        [&](std::size_t ahead, std::uint32_t priority, const queued_opening& opening)
    {
        if (measured_priority != priority)
        {
            measured_priority = priority;
            outlook.load_ahead = in_server_units(offered_load_.rate_ahead(now, priority));
            outlook.own_load = in_server_units(offered_load_.rate_of(now, priority));
        }
        outlook.until_late = opening.late_at - now;
        outlook.until_given_up = opening.deadline - now;
        outlook.ahead = ahead;
        outlook.ahead_if_late = ahead;
        return opening.can_be_refused &&
               shortage_policy::judge(now, outlook, {server.request_time, server.slots},
                                      opening.copies) == shortage_verdict::refuse;
    };
    for (const queued_opening& refused : queue_.take_if(now, gets_no_turn))
    {
        packet_header header;
        if (format_.decode(refused.packet, header))
        {
            record_refusal_of_queued(now, header);
            refuse_now(now, opening_refusal::no_turn, refused.envelope_at(now),
                       actions_.find_route(refused.flow.service), header);
        }
    }
}

void pending_openings::record_refusal_of_queued(time_point now, const packet_header& header)
{
    const packet_route* route = actions_.find_route(header.destination);
    if (route != nullptr)
    {
        offered_load_.record_refused_opening(now, route->priority, true);
    }
}

/** Resets a flow of which no copy of the opening packet is elsewhere. */
void pending_openings::refuse_now(time_point now, opening_refusal reason,
                                  const packet_envelope& envelope, const packet_route* route,
                                  const packet_header& header)
{
    refused_flows_.add(now, {header.source, header.destination});
    actions_.notify_balancer(now, packet_envelope_kind::load, {}, envelope);
    actions_.reset_flow(packet_reset::refused, envelope, header);
    counters_.count_refusal(reason, route == nullptr ? request_class::idempotent : route->requests);
    if (reason == opening_refusal::no_turn && shortage_.record_refusal(now))
    {
        record_state(now, "begins");
    }
}

/** Drops the queued packets whose deadline has passed: their clients give up at the same time. */
void pending_openings::drop_expired(time_point now)
{
    for (queued_opening& expired : queue_.take_expired(now))
    {
        packet_header header;
        if (format_.decode(expired.packet, header))
        {
            actions_.notify_balancer(now, packet_envelope_kind::load, {}, expired.envelope);
            actions_.drop_packet(packet_drop::too_late, expired.envelope_at(now), header);
        }
    }
}

void pending_openings::tick(time_point now)
{
    refusal_messages_left_ = max_refusal_messages_per_tick;
    admit(now);
    refuse_without_turn(now);
    if (shortage_.check_end(now))
    {
        record_state(now, "ends");
    }
}

/** A rate of requests in units of what the backend server can take. */
double pending_openings::in_server_units(double requests_per_s) const
{
    const server_capacity server = actions_.capacity();
    return requests_per_s * std::chrono::duration<double>(server.request_time).count() /
           server.slots;
}

void pending_openings::record_state(time_point now, std::string_view state)
{
    const std::chrono::duration<double, std::milli> request_time = actions_.capacity().request_time;
    std::ostringstream inputs;
    inputs << std::fixed << std::setprecision(2) << "offered load "
           << in_server_units(offered_load_.total_rate(now)) << ", queue length " << queue_.size()
           << ", request time " << std::setprecision(1) << request_time.count() << " ms";
    observer_.record_state({"shortage", state, inputs.str()});
}

} // namespace carawayshelf
