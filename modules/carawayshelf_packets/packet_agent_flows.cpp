#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawayshelf
{

namespace
{

/** After this time without a packet, a request without a complete answer no longer counts as load.
 */
constexpr duration max_request_time = std::chrono::seconds(2);

/** After the answer to its opening packet, a client sends its request within two one-way delays of
    3 ms, plus an allowance. If it doesn't, it has given up, and its slot is freed. */
constexpr duration first_request_timeout = std::chrono::milliseconds(50);

/** A backend server returns a packet of a flow that it doesn't hold in less than this. Clients
    retransmit after 200 ms. */
constexpr duration search_answer_timeout = std::chrono::milliseconds(100);

/** An idle flow is removed after this, which is longer than the pauses of long flows, or after the
    configured timeout of idle flows plus an allowance, if that is longer. */
constexpr duration idle_flow_lifetime = std::chrono::seconds(20);
constexpr duration idle_timeout_allowance = std::chrono::seconds(5);
constexpr duration closed_flow_lifetime = std::chrono::seconds(2);

/** Data bytes of a full packet. A packet with fewer data bytes ends an answer. */
constexpr std::uint32_t full_packet_bytes = 1200;

} // namespace

void packet_agent::handle_envelope(time_point now, const packet_envelope& envelope, char* data,
                                   std::size_t size)
{
    ++counters_.received;
    if (envelope.kind == packet_envelope_kind::probe)
    {
        notify_balancer(now, packet_envelope_kind::load, {}, envelope);
        return;
    }
    if (envelope.kind == packet_envelope_kind::absent ||
        envelope.kind == packet_envelope_kind::holder)
    {
        handle_inquiry_answer(now, envelope);
        return;
    }
    client_packet packet{{}, data, size};
    const bool carries_packet = envelope.kind == packet_envelope_kind::packet ||
                                envelope.kind == packet_envelope_kind::inquiry;
    if (!carries_packet || !format_.decode(packet.bytes(), packet.header))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    if (table_->held() == 0)
    {
        counters_.drops.add(packet_drop::no_table,
                            early_packets_.add(now, envelope, packet.bytes()));
        return;
    }
    handle_packet(now, envelope, packet);
}

void packet_agent::handle_packet(time_point now, const packet_envelope& envelope,
                                 const client_packet& packet)
{
    if (packet.header.is_opening)
    {
        ended_sessions_.forget(packet.flow()); // Its client opens another one from that port.
    }
    if (packet.header.is_opening && envelope.kind == packet_envelope_kind::inquiry)
    {
        handle_refusal_inquiry(now, envelope, packet);
        return;
    }
    const packet_route* route = table_->find_route(packet.header.destination);
    if (route != nullptr)
    {
        packet.header.is_opening ? handle_opening(now, envelope, *route, packet)
                                 : handle_flow_packet(now, envelope, *route, packet);
        return;
    }
    // The route may be newer than this table, and the flow opened on it already.
    const bool is_known =
        packet.header.is_opening
            ? !opening_timing::may_have_other_copies(packet.header.acknowledged, envelope.waited)
            : table_->had_route(packet.header.destination);
    if (!is_known || packet.header.is_reset || !is_table_fresh(now) ||
        envelope.table_generation > table_->held())
    {
        drop_packet(packet_drop::no_route, envelope, packet.header);
        return;
    }
    reset_flow(packet_reset::no_route, envelope, packet.header);
}

void packet_agent::handle_flow_packet(time_point now, const packet_envelope& envelope,
                                      const packet_route& route, const client_packet& packet)
{
    if (reset_ended_flow(now, envelope, packet))
    {
        return;
    }
    auto found = flows_.find(packet.flow());
    if (found == flows_.end())
    {
        if (!table_->may_hold_flows(route, server_.service()))
        {
            forward(now, envelope, route, packet, forward_reason::wrong_service);
            return;
        }
        if (knows_all_flows(now) || returned_flows_.contains(now, packet.flow()))
        {
            forward(now, envelope, route, packet, forward_reason::not_here);
            return;
        }
        found = flows_.emplace(packet.flow(), flow{}).first;
        found->second.searching_since = now;
        found->second.opening_given_at = now;
    }
    flow& item = found->second;
    item.last_used = now;
    note_acknowledged(item, packet.header.acknowledged);
    const bool is_inquiry = envelope.kind == packet_envelope_kind::inquiry;
    item.must_report_holder = item.must_report_holder || is_inquiry || envelope.position > 0;
    item.inquiring_agent = is_inquiry ? envelope.candidates[0] : item.inquiring_agent;
    item.balancer = envelope.balancer;
    item.caller_domain = envelope.caller_domain;
    item.client_finished =
        item.client_finished || packet.header.is_finish || packet.header.is_reset;
    if (packet.header.data_bytes != 0 && item.state != flow_state::searching)
    {
        item.state = flow_state::open;
        if (!item.is_busy)
        {
            pending_openings_.record_request_of_open_flow(now);
        }
        start_request(now, item);
        item.request.start(now, requests_in_flight_ - (item.is_busy ? 1 : 0));
    }
    if (item.state == flow_state::open)
    {
        report_holder(now, packet.flow(), item);
    }
    deliver(envelope, packet);
    if (item.state == flow_state::searching && !is_inquiry &&
        now - item.searching_since >= search_answer_timeout)
    {
        // The server has ended, or it holds the flow and has nothing to send yet.
        forward(now, envelope, route, packet, forward_reason::no_answer);
    }
}

void packet_agent::deliver(const packet_envelope& envelope, const client_packet& packet)
{
    format_.set_mark(packet.data, delivered_envelopes_.add(envelope));
    ++counters_.relayed;
    port_.send_to_server(packet.bytes());
}

void packet_agent::handle_server_packet(time_point now, char* data, std::size_t size)
{
    client_packet packet{{}, data, size};
    const packet_header& header = packet.header;
    if (!format_.decode(packet.bytes(), packet.header))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    if (header.is_returned)
    {
        handle_returned_packet(now, packet);
        return;
    }
    const packet_flow key{header.destination, header.source};
    flow& item = flows_[key];
    note_server_packet(now, header, item);
    if (item.state == flow_state::searching)
    {
        item.state = flow_state::open;
    }
    item.is_accepted = true;
    item.last_used = now;
    item.server_finished = item.server_finished || header.is_finish || header.is_reset;
    const bool ends_answer = header.data_bytes != 0 && header.data_bytes < full_packet_bytes;
    if (header.data_bytes != 0)
    {
        failures_.record_begin(now, item.request);
    }
    if (ends_answer || item.server_finished)
    {
        end_request(now, item, ends_answer);
    }
    report_holder(now, key, item);
    if (item.state == flow_state::opening && item.is_busy)
    {
        answered_openings_.emplace_back(now, key);
    }
    ++counters_.replies;
    port_.send_to_client(header.destination.address, packet.bytes());
    end_abandoned_requests(now);
    pending_openings_.admit(now);
}

void packet_agent::handle_returned_packet(time_point now, const client_packet& packet)
{
    const packet_envelope* envelope = delivered_envelopes_.find(packet.header.mark);
    if (packet.header.is_opening && is_accepted(packet.flow()))
    {
        drop_packet(packet_drop::too_late, packet_envelope{}, packet.header);
        return; // A copy; the server still holds the flow that it accepted.
    }
    if (handle_return_after_restart(now, envelope, packet))
    {
        return;
    }
    erase_flow(now, packet.flow());
    packet.header.is_opening ? pace_monitor_.record_returned_opening(now)
                             : returned_flows_.add(now, packet.flow());
    const packet_route* route = table_->find_route(packet.header.destination);
    if (envelope == nullptr || route == nullptr)
    {
        drop_packet(packet_drop::no_route, packet_envelope{}, packet.header);
        return;
    }
    format_.set_mark(packet.data, 0);
    forward(now, *envelope, *route, packet, forward_reason::not_here);
}

void packet_agent::forward(time_point now, packet_envelope envelope, const packet_route& route,
                           const client_packet& packet, forward_reason reason)
{
    if (envelope.kind == packet_envelope_kind::inquiry)
    {
        answer_inquiry(now, packet_envelope_kind::absent, packet.flow(), envelope.candidates[0]);
        return;
    }
    counters_.forwards.add(reason);
    report_decision("passed", forward_reason_names.name(reason), envelope, packet.header);
    envelope.table_generation = std::max(envelope.table_generation, table_->held());
    if (packet.header.is_opening)
    {
        forward_opening(now, envelope, route, packet);
        return;
    }
    if (envelope.position == 0 && envelope.candidate_count == 1 &&
        reason != forward_reason::no_answer)
    {
        // The balancer has the flow in its cache at this agent.
        notify_balancer(now, packet_envelope_kind::absent, packet.flow(), envelope);
    }
    const endpoint next = next_candidate(envelope);
    if (next.is_none())
    {
        start_inquiry(now, envelope, route, packet);
        return;
    }
    port_.send_envelope(next, envelope, packet.bytes());
}

/** Moves the envelope to its next candidate. Returns that candidate, or none if there is no other.
 */
endpoint packet_agent::next_candidate(packet_envelope& envelope) const
{
    const int end = envelope.candidate_count;
    do
    {
        envelope.position = static_cast<std::uint8_t>(std::min(envelope.position + 1, UINT8_MAX));
    } while (envelope.position < end && envelope.candidates[envelope.position] == options_.data);
    return envelope.position < end ? envelope.candidates[envelope.position] : endpoint{};
}

void packet_agent::forward_opening(time_point now, packet_envelope envelope,
                                   const packet_route& route, const client_packet& packet)
{
    const bool was_last_candidate = (envelope.flags & opening_flag_last_candidate) != 0;
    const std::uint8_t least_loaded = envelope.flags & opening_least_loaded_mask;
    endpoint next = next_candidate(envelope);
    if (was_last_candidate ||
        (next.is_none() && least_loaded == 0 && !add_untried_members(envelope, route)))
    {
        pending_openings_.refuse_by_consent(now, envelope, route, packet);
        return;
    }
    if (next.is_none() && least_loaded != 0)
    {
        // All members are full: the least loaded one queues or refuses the packet.
        envelope.flags |= opening_flag_last_candidate;
        envelope.position = static_cast<std::uint8_t>(least_loaded - 1U);
    }
    next = envelope.candidates[envelope.position];
    if (next == options_.data)
    {
        decide_opening(now, envelope, route, packet);
        return;
    }
    notify_balancer(now, packet_envelope_kind::load, {}, envelope);
    port_.send_envelope(next, envelope, packet.bytes());
}

/** Adds members that may admit a new flow to the candidates. Returns whether there were any. */
bool packet_agent::add_untried_members(packet_envelope& envelope, const packet_route& route) const
{
    const std::size_t before = envelope.candidate_count;
    for (const std::uint32_t service : route.services)
    {
        for (const packet_member& member : table_->members_of(service))
        {
            if (member.accepts_new_flows && member.data != options_.data &&
                !envelope.has_candidate(member.data))
            {
                envelope.add_candidate(member.data);
            }
        }
    }
    return envelope.candidate_count > before;
}

bool packet_agent::is_table_fresh(time_point now) const
{
    return table_->held() != 0 && now - confirmed_at_ < max_confirmation_age;
}

void packet_agent::drop_packet(packet_drop reason, const packet_envelope& envelope,
                               const packet_header& header)
{
    counters_.drops.add(reason);
    report_decision("dropped", packet_drop_names.name(reason), envelope, header);
}

void packet_agent::reset_flow(packet_reset reason, const packet_envelope& envelope,
                              const packet_header& header)
{
    counters_.resets.add(reason);
    report_decision("reset", packet_reset_names.name(reason), envelope, header);
    port_.send_reset({header.source, header.destination}, reset_sequence(header));
}

void packet_agent::report_decision(const char* action, std::string_view reason,
                                   const packet_envelope& envelope, const packet_header& header)
{
    packet_decision decision;
    decision.action = action;
    decision.reason = reason;
    decision.flow = {header.source, header.destination};
    decision.is_opening = header.is_opening;
    decision.held = table_->held();
    decision.envelope_held = envelope.table_generation;
    decision.position = envelope.position;
    decision.candidate_count = envelope.candidate_count;
    decision.load = load();
    observer_.record(decision);
}

void packet_agent::notify_balancer(time_point now, packet_envelope_kind kind,
                                   const packet_flow& key, const packet_envelope& received)
{
    notify_balancer(now, kind, key, received.balancer, received.caller_domain);
}

void packet_agent::notify_balancer(time_point now, packet_envelope_kind kind,
                                   const packet_flow& key, const endpoint& balancer,
                                   std::uint8_t caller_domain)
{
    packet_envelope notification = describe_load(now, kind, caller_domain);
    notification.balancer = balancer;
    notification.flow = key;
    port_.send_envelope(balancer, notification, {});
}

/** A load report, by how the backend server answers callers of a failure domain. */
packet_envelope packet_agent::describe_load(time_point now, packet_envelope_kind kind,
                                            std::uint8_t caller_domain) const
{
    packet_envelope notification;
    notification.kind = kind;
    notification.table_generation = table_->held();
    notification.load = static_cast<std::uint16_t>(
        std::min<std::uint32_t>(load() * load_units_per_request, UINT16_MAX));
    notification.service_time = service_time_meter_.time();
    notification.slots =
        static_cast<std::uint8_t>(std::min<std::uint32_t>(server_.slots(), UINT8_MAX));
    const bool accepts_new_flows = server_.is_known(now) && !server_.is_draining() &&
                                   table_->held() != 0 && !table_->is_domain_out(options_.domain);
    const bool is_rate_limited =
        server_.is_cold(now) && table_->cold_requests_per_s(server_.service()) > 0.0;
    notification.pace = pace_monitor_.reported_pace(is_rate_limited);
    const bool is_bounded =
        is_rate_limited || (server_.is_announced_cold(now) && notification.pace == 0);
    notification.flags = static_cast<std::uint8_t>(
        (accepts_new_flows ? 0 : load_flag_closed) | (is_bounded ? load_flag_cold : 0) |
        (admission_.state_for(caller_domain) == caller_state::failing ? load_flag_failing : 0));
    return notification;
}

void packet_agent::start_request(time_point now, flow& item)
{
    if (item.is_busy || item.request.is_silent())
    {
        return;
    }
    item.is_busy = true;
    item.busy_since = now;
    item.requests_at_start = ++requests_in_flight_;
}

void packet_agent::end_request(time_point now, flow& item, bool was_answered)
{
    const request_watch request = item.request;
    item.request.end(was_answered);
    if (was_answered && request.is_started())
    {
        failures_.record_answer(now, item.caller_domain, request);
        pace_monitor_.record_answer(now, now - request.given_at(), item.requests_at_start,
                                    server_.slots());
        request_time_meter_.record_answer(now - request.given_at(), item.requests_at_start,
                                          server_.slots());
    }
    if (!item.is_busy)
    {
        return;
    }
    item.is_busy = false;
    --requests_in_flight_;
    if (was_answered)
    {
        service_time_meter_.record_answer(now, now - item.busy_since,
                                          item.requests_at_start <= server_.slots(),
                                          requests_in_flight_, server_.slots());
    }
}

void packet_agent::end_abandoned_requests(time_point now)
{
    while (!answered_openings_.empty() &&
           now - answered_openings_.front().first >= first_request_timeout)
    {
        const auto found = flows_.find(answered_openings_.front().second);
        if (found != flows_.end() && found->second.state == flow_state::opening)
        {
            end_request(now, found->second, false);
        }
        answered_openings_.pop_front();
    }
}

/** Keeps the highest number: copies of earlier packets may be late. Numbers wrap around. */
void packet_agent::note_acknowledged(flow& item, std::uint32_t acknowledged)
{
    if (!item.acknowledged || static_cast<std::int32_t>(acknowledged - *item.acknowledged) > 0)
    {
        item.acknowledged = acknowledged;
    }
}

bool packet_agent::is_accepted(const packet_flow& key) const
{
    const auto found = flows_.find(key);
    return found != flows_.end() && found->second.is_accepted;
}

/** Returns the flow after the erased one. */
packet_agent::flow_map::iterator packet_agent::erase_flow(time_point now, flow_map::iterator item)
{
    end_request(now, item->second, false);
    return flows_.erase(item);
}

/** Has no effect if the flow is not in the table. */
void packet_agent::erase_flow(time_point now, const packet_flow& key)
{
    const auto found = flows_.find(key);
    if (found != flows_.end())
    {
        erase_flow(now, found);
    }
}

void packet_agent::tick(time_point now)
{
    failures_.begin_check(now);
    erase_idle_flows(now);
    failures_.report(now, *table_);
    end_abandoned_requests(now);
    pace_monitor_.tick(now, requests_in_flight_, admission_state(now, {}).is_rate_limited());
    pending_openings_.tick(now);
    conclude_inquiries(now);
    drop_expired_inquiries(now);
    reset_ended_sessions(now);
}

void packet_agent::erase_idle_flows(time_point now)
{
    const duration idle_lifetime =
        std::max(idle_flow_lifetime, table_->idle_timeout() + idle_timeout_allowance);
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        flow& known = item->second;
        const duration age = now - known.last_used;
        const bool is_closed = known.client_finished && known.server_finished;
        if (failures_.record_if_silent(now, known.caller_domain, known.request) ||
            age > max_request_time)
        {
            end_request(now, known, false);
        }
        const bool is_expired = age > (is_closed ? closed_flow_lifetime : idle_lifetime);
        item = is_expired ? erase_flow(now, item) : std::next(item);
    }
}

} // namespace carawayshelf
