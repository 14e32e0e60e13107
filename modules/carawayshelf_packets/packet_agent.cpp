#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

namespace
{

/** Without an announcement for this many intervals the backend server gets no new flows. */
constexpr int missed_announcements = 3;

/** An opening that gets no answer, or a request whose answer doesn't end, stops to count as load.
 */
constexpr duration busy_for_at_most = std::chrono::seconds(2);

/** Flows in the cache that were not used for this long are forgotten; longer than the pauses of
    long flows. */
constexpr duration flow_memory = std::chrono::seconds(20);
constexpr duration closed_flow_memory = std::chrono::seconds(2);

/** A balancer that doesn't repeat its wish gets no more load reports. */
constexpr duration watcher_memory = std::chrono::seconds(3);

/** Data of a full packet; a shorter one ends an answer. */
constexpr std::uint32_t full_packet_bytes = 1200;

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
    note_changes(now, *table);
    table_ = std::move(table);
    confirmed_ = now;
    if (was_out && !table_->is_domain_out(own_.domain))
    {
        // The backend server may have turned cold meanwhile; its next announcement tells.
        must_announce_anew_ = true;
    }
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
    for (const endpoint& address : next.routes_leading_to(service()))
    {
        const packet_route* before = table_->find_route(address);
        if (before != nullptr && !table_->may_hold(*before, service()))
        {
            led_since_[address] = now;
        }
    }
}

const std::string& packet_agent::service() const
{
    return has_server_ ? server_.service : own_.service;
}

bool packet_agent::is_settled(time_point now, const endpoint& address) const
{
    const auto led = led_since_.find(address);
    const bool is_newly_led = led != led_since_.end() && now - led->second < settle_time;
    return is_member_ && now >= member_since_ && !is_newly_led;
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
    has_server_ = true;
    server_ = announcement;
    announced_ = now;
    cold_until_ = now + announcement.cold_for;
    must_announce_anew_ = false;
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
    return true;
}

bool packet_agent::is_server_known(time_point now) const
{
    return has_server_ && now - announced_ < own_.announce_interval * missed_announcements;
}

bool packet_agent::is_cold(time_point now) const
{
    return now < cold_until_ || must_announce_anew_;
}

bool packet_agent::is_table_fresh(time_point now) const
{
    return table_->held() != 0 && now - confirmed_ < table_fresh_for;
}

void packet_agent::take_envelope(time_point now, const packet_envelope& envelope, char* packet,
                                 std::size_t size)
{
    ++counters_.received;
    if (envelope.kind == packet_envelope_kind::watching)
    {
        watchers_[envelope.balancer] = now;
        return;
    }
    const std::string_view bytes(packet, size);
    packet_head head;
    if (envelope.kind != packet_envelope_kind::packet || !format_.decode(bytes, head))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    const packet_route* route = table_->find_route(head.destination);
    if (route == nullptr)
    {
        const bool is_known = head.is_opening || table_->had_route(head.destination);
        const bool may_say_so =
            is_known && is_table_fresh(now) && envelope.held <= table_->held();
        if (!may_say_so || head.is_reset)
        {
            note_dropped(packet_drop::no_route, envelope, head);
            return;
        }
        note_reset(packet_reset::no_route, envelope, head);
        return;
    }
    if (head.is_opening)
    {
        take_opening(now, envelope, head, *route, bytes, packet);
    }
    else
    {
        take_flow_packet(now, envelope, head, *route, bytes, packet);
    }
}

void packet_agent::take_opening(time_point now, const packet_envelope& envelope,
                                const packet_head& head, const packet_route& route,
                                std::string_view bytes, char* packet)
{
    const packet_flow key{head.source, head.destination};
    const auto known = flows_.find(key);
    if (known != flows_.end() && known->second.is_placed)
    {
        if (known->second.state == flow_state::opening)
        {
            deliver(envelope, bytes, packet);
        }
        return; // A late copy of the packet that opened the flow.
    }
    if (envelope.held > table_->held())
    {
        note_dropped(packet_drop::stale_table, envelope, head);
        return;
    }
    const pass_reason refusal = check_gate(now, envelope, head.destination, route);
    if (refusal != pass_reason::none)
    {
        pass_on(now, envelope, head, route, bytes, refusal);
        return;
    }
    flow& placed = flows_[key];
    placed.state = flow_state::opening;
    placed.is_placed = true;
    placed.balancer = envelope.balancer;
    placed.used = now;
    set_busy(placed, true);
    ++counters_.placed;
    if (envelope.position > 0)
    {
        tell_holder(key, placed);
    }
    deliver(envelope, bytes, packet);
}

pass_reason packet_agent::check_gate(time_point now, const packet_envelope& envelope,
                                     const endpoint& address, const packet_route& route)
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
    const bool is_last = envelope.position + 1 >= envelope.candidate_count;
    return busy_ < server_.slots + (is_last ? own_.queue_limit : 0);
}

void packet_agent::take_flow_packet(time_point now, const packet_envelope& envelope,
                                    const packet_head& head, const packet_route& route,
                                    std::string_view bytes, char* packet)
{
    const packet_flow key{head.source, head.destination};
    auto found = flows_.find(key);
    if (found == flows_.end())
    {
        if (!table_->may_hold(route, service()))
        {
            pass_on(now, envelope, head, route, bytes, pass_reason::wrong_service);
            return;
        }
        found = flows_.emplace(key, flow{}).first;
    }
    flow& item = found->second;
    item.used = now;
    item.tell_holder = item.tell_holder || envelope.position > 0;
    item.balancer = envelope.balancer;
    item.client_finished = item.client_finished || head.is_finish || head.is_reset;
    if (head.data_bytes != 0 && item.state != flow_state::searching)
    {
        item.state = flow_state::open;
        set_busy(item, true);
    }
    if (item.state == flow_state::open && item.tell_holder)
    {
        tell_holder(key, item);
    }
    deliver(envelope, bytes, packet);
}

void packet_agent::deliver(const packet_envelope& envelope, std::string_view bytes, char* packet)
{
    format_.set_mark(packet, visits_.add(envelope));
    ++counters_.relayed;
    port_.send_to_server(bytes);
}

void packet_agent::take_server_packet(time_point now, char* packet, std::size_t size)
{
    const std::string_view bytes(packet, size);
    packet_head head;
    if (!format_.decode(bytes, head))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    if (head.is_returned)
    {
        take_returned(now, head, bytes, packet);
        return;
    }
    const packet_flow key{head.destination, head.source};
    flow& item = flows_[key];
    if (item.state == flow_state::searching)
    {
        item.state = flow_state::open;
    }
    item.used = now;
    item.server_finished = item.server_finished || head.is_finish || head.is_reset;
    if ((head.data_bytes != 0 && head.data_bytes < full_packet_bytes) || item.server_finished)
    {
        set_busy(item, false);
    }
    if (item.tell_holder && !item.balancer.is_none())
    {
        tell_holder(key, item);
    }
    ++counters_.replies;
    port_.send_to_client(head.destination.address, bytes);
}

void packet_agent::take_returned(time_point now, const packet_head& head, std::string_view bytes,
                                 char* packet)
{
    const packet_envelope* visit = visits_.find(head.mark);
    const auto known = flows_.find({head.source, head.destination});
    if (known != flows_.end())
    {
        forget(known);
    }
    const packet_route* route = table_->find_route(head.destination);
    if (visit == nullptr || route == nullptr)
    {
        note_dropped(packet_drop::no_route, packet_envelope{}, head);
        return;
    }
    format_.set_mark(packet, 0);
    pass_on(now, *visit, head, *route, bytes, pass_reason::not_here);
}

void packet_agent::pass_on(time_point now, packet_envelope envelope, const packet_head& head,
                           const packet_route& route, std::string_view bytes, pass_reason why)
{
    counters_.passes.add(why);
    note("passed", pass_reason_names.name(why), envelope, head);
    envelope.held = std::max(envelope.held, table_->held());
    ++envelope.position;
    while (envelope.position < envelope.candidate_count &&
           envelope.candidates[envelope.position] == own_.data)
    {
        ++envelope.position;
    }
    if (envelope.position >= envelope.candidate_count &&
        !add_unvisited(envelope, route, head.is_opening))
    {
        give_up(now, envelope, head);
        return;
    }
    port_.send_envelope(envelope.candidates[envelope.position], envelope, bytes);
}

bool packet_agent::add_unvisited(packet_envelope& envelope, const packet_route& route,
                                 bool for_new) const
{
    const std::size_t before = envelope.candidate_count;
    for (const bool silent : {false, true})
    {
        for (const std::uint32_t service : route.services)
        {
            for (const packet_member& who : table_->members_of(service))
            {
                const bool fits = who.is_silent == silent && (!for_new || who.takes_new);
                if (fits && who.data != own_.data && !envelope.has_candidate(who.data))
                {
                    envelope.add_candidate(who.data);
                }
            }
        }
    }
    return envelope.candidate_count > before;
}

void packet_agent::give_up(time_point now, const packet_envelope& envelope,
                           const packet_head& head)
{
    if (head.is_opening)
    {
        note_reset(packet_reset::refused, envelope, head);
        return;
    }
    const bool knows_all = is_table_fresh(now) && envelope.held <= table_->held();
    if (!knows_all || head.is_reset)
    {
        note_dropped(packet_drop::lost_flow, envelope, head);
        return;
    }
    note_reset(packet_reset::nowhere, envelope, head);
}

void packet_agent::note_dropped(packet_drop reason, const packet_envelope& envelope,
                                const packet_head& head)
{
    counters_.drops.add(reason);
    note("dropped", packet_drop_names.name(reason), envelope, head);
}

void packet_agent::note_reset(packet_reset reason, const packet_envelope& envelope,
                              const packet_head& head)
{
    counters_.resets.add(reason);
    note("reset", packet_reset_names.name(reason), envelope, head);
    port_.send_reset({head.source, head.destination}, reset_sequence(head));
}

void packet_agent::note(const char* what, std::string_view reason, const packet_envelope& envelope,
                        const packet_head& head)
{
    packet_decision decision;
    decision.what = what;
    decision.reason = reason;
    decision.flow = {head.source, head.destination};
    decision.is_opening = head.is_opening;
    decision.held = table_->held();
    decision.envelope_held = envelope.held;
    decision.position = envelope.position;
    decision.candidate_count = envelope.candidate_count;
    decision.load = busy_;
    observer_.note(decision);
}

void packet_agent::tell_holder(const packet_flow& key, flow& item)
{
    packet_envelope told;
    told.kind = packet_envelope_kind::holder;
    told.held = table_->held();
    told.balancer = item.balancer;
    told.flow = key;
    port_.send_envelope(item.balancer, told, {});
    item.tell_holder = false;
}

void packet_agent::set_busy(flow& item, bool busy)
{
    if (item.is_busy != busy)
    {
        item.is_busy = busy;
        busy_ = busy ? busy_ + 1 : busy_ - 1;
    }
}

void packet_agent::forget(flow_map::iterator item)
{
    set_busy(item->second, false);
    flows_.erase(item);
}

void packet_agent::tick(time_point now)
{
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        const auto current = item++;
        flow& known = current->second;
        const duration age = now - known.used;
        const bool is_closed = known.client_finished && known.server_finished;
        if (age > busy_for_at_most)
        {
            set_busy(known, false);
        }
        if (age > (is_closed ? closed_flow_memory : flow_memory))
        {
            forget(current);
        }
    }
    report_load(now);
}

void packet_agent::report_load(time_point now)
{
    packet_envelope report;
    report.kind = packet_envelope_kind::load;
    report.held = table_->held();
    report.load =
        static_cast<std::uint16_t>(std::min<std::uint32_t>(busy_ * load_unit, UINT16_MAX));
    const bool takes_new = is_server_known(now) && !server_.is_draining && table_->held() != 0 &&
                           !table_->is_domain_out(own_.domain);
    report.flags = static_cast<std::uint8_t>((takes_new ? 0 : load_flag_closed) |
                                             (is_cold(now) ? load_flag_cold : 0));
    for (auto item = watchers_.begin(); item != watchers_.end();)
    {
        if (now - item->second > watcher_memory)
        {
            item = watchers_.erase(item);
            continue;
        }
        report.balancer = item->first;
        port_.send_envelope(item->first, report, {});
        ++item;
    }
}

} // namespace carawayshelf
