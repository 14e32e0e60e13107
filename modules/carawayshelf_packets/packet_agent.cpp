#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

namespace
{

/** Without an announcement for this many intervals the backend server gets no new flows. */
constexpr int missed_announcements = 3;

/** Requests that a backend server serves at the same time, until it says so itself. */
constexpr std::uint32_t assumed_slots = 2;

/** Counts as load where a backend server seems to fail what it gets: more than any that waits. */
constexpr std::uint32_t load_of_failing = 10000;

} // namespace

packet_agent::packet_agent(const options& own, const packet_format& format, packet_port& port,
                           packet_counters& counters, packet_observer& observer)
    : own_(own), format_(format), port_(port), counters_(counters), observer_(observer),
      table_(std::make_shared<const packet_table>())
{
}

void packet_agent::set_table(time_point now, std::shared_ptr<const packet_table> table)
{
    const bool was_out = table_->is_domain_out(own_.domain);
    const bool is_first = table_->held() == 0;
    note_changes(now, *table);
    table_ = std::move(table);
    if (is_first && !has_server_)
    {
        resume(now);
    }
    if (was_out && !table_->is_domain_out(own_.domain))
    {
        // The backend server may have turned cold meanwhile; its next announcement tells.
        must_announce_anew_ = true;
    }
    admit_waiting(now);
    release_early(now);
    ask_changed_members(now);
    conclude_inquiries(now);
}

void packet_agent::confirm_table(time_point now)
{
    confirmed_ = now;
    conclude_inquiries(now);
}

/** Draining is acknowledged only once control has recorded it, so a member that the first table
    shows as taking new flows has not been told that it gets none. */
void packet_agent::resume(time_point now)
{
    const packet_member* own = table_->find_member(own_.service, own_.data);
    if (own == nullptr || !own->takes_new)
    {
        return;
    }
    server_.service = own_.service;
    server_.slots = assumed_slots;
    must_announce_anew_ = true; // It may have restarted, too.
    resumes_until_ = now + own_.announce_interval * resumes_for_announcements;
}

void packet_agent::release_early(time_point now)
{
    if (early_.is_empty() || table_->held() == 0)
    {
        return;
    }
    const std::size_t dropped =
        early_.release(now, port_,
                       [this, now](early_packets::item& early)
                       {
                           client_packet packet{{}, early.packet.data(), early.packet.size()};
                           if (format_.decode(packet.bytes(), packet.head))
                           {
                               take_packet(now, early.envelope, packet);
                           }
                       });
    counters_.drops.add(packet_drop::no_table, dropped);
}

void packet_agent::note_changes(time_point now, const packet_table& next)
{
    const bool is_first_table = table_->held() == 0;
    const bool was_member = is_member_;
    is_member_ = next.has_agent(own_.data);
    if (is_member_ && !was_member)
    {
        // A restarted agent finds its earlier incarnation in the first table: others know it.
        member_since_ = is_first_table ? now : now + settle_time;
    }
    for (auto item = led_since_.begin(); item != led_since_.end();)
    {
        item = now - item->second >= settle_time ? led_since_.erase(item) : std::next(item);
    }
    if (next.has_routes_of(*table_))
    {
        return;
    }
    for (const endpoint& address : next.routes_leading_to(service()))
    {
        const packet_route* before = table_->find_route(address);
        if (before != nullptr && !table_->may_hold(*before, service()))
        {
            led_since_[address] = now;
        }
    }
}

bool packet_agent::take_announcement(time_point now, const server_announcement& announcement)
{
    if (announcement.id == departed_id_ && announcement.started_at <= server_.started_at)
    {
        return false;
    }
    const bool is_known = has_server_ && announcement.id == server_.id &&
                          announcement.started_at == server_.started_at;
    const bool is_late = has_server_ && announcement.started_at < server_.started_at;
    if (is_late || (is_known && announcement.sequence <= server_.sequence))
    {
        return false;
    }
    if (!is_known)
    {
        failures_.reset();
    }
    has_server_ = true;
    server_ = announcement;
    announced_ = now;
    cold_until_ = now + announcement.cold_for;
    must_announce_anew_ = false;
    admit_waiting(now);
    return true;
}

bool packet_agent::take_departure(const std::string& id)
{
    if (has_server_ && server_.id != id)
    {
        return false;
    }
    departed_id_ = id;
    has_server_ = false;
    resumes_until_ = time_point();
    return true;
}

const std::string& packet_agent::service() const
{
    return has_server_ ? server_.service : own_.service;
}

bool packet_agent::is_server_known(time_point now) const
{
    if (!has_server_)
    {
        return now < resumes_until_;
    }
    return now - announced_ < own_.announce_interval * missed_announcements;
}

bool packet_agent::is_cold(time_point now) const
{
    return now < cold_until_ || must_announce_anew_;
}

bool packet_agent::is_settled(time_point now, const endpoint& address) const
{
    const auto led = led_since_.find(address);
    const bool is_newly_led = led != led_since_.end() && now - led->second < settle_time;
    return is_member_ && now >= member_since_ && !is_newly_led;
}

void packet_agent::take_opening(time_point now, const packet_envelope& envelope,
                                const packet_route& route, const client_packet& packet)
{
    const auto known = flows_.find(packet.flow());
    if (known != flows_.end() && known->second.is_placed)
    {
        if (known->second.state == flow_state::opening)
        {
            tell_balancer(now, packet_envelope_kind::holder, packet.flow(), envelope.balancer);
            deliver(envelope, packet);
        }
        return; // A late copy of the packet that opened the flow.
    }
    const duration silence = opening_age::silence_after(packet.head.acknowledged);
    if (waiting_.hear_copy(now + silence, packet.flow()))
    {
        tell_balancer(now, packet_envelope_kind::holder, packet.flow(), envelope.balancer);
        return; // A copy of one that waits.
    }
    decide_opening(now, envelope, route, packet);
}

void packet_agent::decide_opening(time_point now, const packet_envelope& envelope,
                                  const packet_route& route, const client_packet& packet)
{
    const pass_reason refusal = check_gate(now, envelope, route, packet.head.destination);
    if (refusal == pass_reason::none)
    {
        accept(now, envelope, packet);
    }
    else if (refusal == pass_reason::full || refusal == pass_reason::failing)
    {
        find_room_elsewhere(now, envelope, route, packet, refusal);
    }
    else
    {
        pass_on(now, envelope, route, packet, refusal);
    }
}

pass_reason packet_agent::check_gate(time_point now, const packet_envelope& envelope,
                                     const packet_route& route, const endpoint& address)
{
    if (!is_server_known(now) || table_->held() == 0)
    {
        return pass_reason::no_server;
    }
    if (!table_->leads_to(route, server_.service))
    {
        return pass_reason::wrong_service;
    }
    if (server_.is_draining)
    {
        return pass_reason::draining;
    }
    if (table_->is_domain_out(own_.domain))
    {
        return pass_reason::domain_out;
    }
    if (!is_settled(now, address))
    {
        return pass_reason::not_settled;
    }
    if (!has_room(envelope))
    {
        return pass_reason::full;
    }
    if (is_left_out_as_failing(now, envelope, route))
    {
        return pass_reason::failing;
    }
    const double cold_rate = table_->cold_requests_per_s(server_.service);
    if (is_cold(now) && cold_rate > 0.0 && !cold_.take(now, cold_rate))
    {
        return pass_reason::cold;
    }
    return pass_reason::none;
}

bool packet_agent::has_room(const packet_envelope& envelope) const
{
    const std::uint32_t max_flows = table_->max_flows(server_.service);
    if (max_flows != 0 && flows_.size() >= max_flows)
    {
        return false;
    }
    const bool is_final = (envelope.flags & opening_flag_last_candidate) != 0;
    return busy_ < server_.slots + (is_final ? own_.requests_ahead : 0);
}

void packet_agent::accept(time_point now, const packet_envelope& envelope,
                          const client_packet& packet)
{
    flow& placed = flows_[packet.flow()];
    placed.state = flow_state::opening;
    placed.is_placed = true;
    placed.balancer = envelope.balancer;
    placed.used = now;
    start_request(now, placed);
    ++counters_.placed;
    tell_balancer(now, packet_envelope_kind::holder, packet.flow(), envelope.balancer);
    deliver(envelope, packet);
}

/** New flows go elsewhere while the backend server seems to fail them, but for trials, and but for
    those for which there is no other room. */
bool packet_agent::is_left_out_as_failing(time_point now, const packet_envelope& envelope,
                                          const packet_route& route)
{
    const bool is_final = (envelope.flags & opening_flag_last_candidate) != 0;
    return failures_.is_suspect() && !is_final &&
           !failures_.take_trial(now, route.requests != request_class::non_idempotent);
}

/** By this the members compare where an opening waits when none has room. */
std::uint32_t packet_agent::load_to_compare() const
{
    return load() + (failures_.is_suspect() ? load_of_failing : 0);
}

void packet_agent::find_room_elsewhere(time_point now, packet_envelope envelope,
                                       const packet_route& route, const client_packet& packet,
                                       pass_reason why)
{
    if ((envelope.flags & opening_flag_last_candidate) != 0)
    {
        if (!queue_opening(now, envelope, route, packet))
        {
            refuse(now, envelope, packet.head);
        }
        return;
    }
    const bool is_first = (envelope.flags & opening_least_loaded_mask) == 0;
    if (is_first || load_to_compare() < envelope.load)
    {
        envelope.load =
            static_cast<std::uint16_t>(std::min<std::uint32_t>(load_to_compare(), UINT16_MAX));
        envelope.flags = static_cast<std::uint8_t>((envelope.flags & ~opening_least_loaded_mask) |
                                                   (envelope.position + 1U));
    }
    pass_on(now, envelope, route, packet, why);
}

bool packet_agent::queue_opening(time_point now, const packet_envelope& envelope,
                                 const packet_route& route, const client_packet& packet)
{
    const std::uint32_t copy = packet.head.acknowledged;
    const duration service_time = meter_.time();
    const duration left =
        opening_age::time_left(copy, std::chrono::milliseconds(route.timeout_ms)) - service_time;
    // Its answer takes its own time and, mostly, that of one before it at the server. What waited
    // for the first table is late already.
    const bool was_early = (envelope.flags & opening_flag_waited_for_table) != 0;
    const duration in_time = was_early ? duration(0)
                                       : std::chrono::milliseconds(route.target_latency_ms) -
                                             opening_age::at_copy(copy) - service_time * 2;
    const std::size_t ahead = waiting_.count_ahead(in_time <= duration(0), route.priority) + 1;
    const duration expected = service_time * static_cast<std::int64_t>(ahead) / server_.slots;
    if (expected > left)
    {
        return false;
    }
    waiting_.add(now, route.priority,
                 {envelope, packet.flow(), std::string(packet.bytes()), now + left, now + in_time,
                  now + opening_age::silence_after(copy)});
    // Copies come here.
    tell_balancer(now, packet_envelope_kind::holder, packet.flow(), envelope.balancer);
    return true;
}

void packet_agent::admit_waiting(time_point now)
{
    refuse_expired(now);
    while (!waiting_.is_empty() && busy_ < server_.slots + own_.requests_ahead)
    {
        waiting_opening next = std::move(*waiting_.take_next(now));
        if (now > next.gone_after)
        {
            counters_.drops.add(packet_drop::client_gone);
            continue;
        }
        client_packet packet{{}, next.packet.data(), next.packet.size()};
        const packet_route* route = table_->find_route(next.flow.service);
        if (!format_.decode(packet.bytes(), packet.head))
        {
            counters_.drops.add(packet_drop::malformed);
            continue;
        }
        if (route == nullptr)
        {
            note_reset(packet_reset::no_route, next.envelope, packet.head);
            continue;
        }
        decide_opening(now, next.envelope, *route, packet);
        port_.flush();
    }
}

/** Resets the flow, unless a later copy of its opening packet may have opened it elsewhere. */
void packet_agent::refuse(time_point now, const packet_envelope& envelope, const packet_head& head)
{
    tell_balancer(now, packet_envelope_kind::load, {}, envelope.balancer);
    if ((envelope.flags & opening_flag_waited_for_table) != 0)
    {
        note_dropped(packet_drop::too_late, envelope, head);
        return;
    }
    note_reset(packet_reset::refused, envelope, head);
}

void packet_agent::refuse_expired(time_point now)
{
    for (waiting_opening& expired : waiting_.take_expired(now))
    {
        packet_head head;
        if (format_.decode(expired.packet, head))
        {
            refuse(now, expired.envelope, head);
        }
    }
}

} // namespace carawayshelf
