#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawayshelf
{

namespace
{

/** An opening that gets no answer, or a request whose answer doesn't end, stops to count as load.
 */
constexpr duration busy_for_at_most = std::chrono::seconds(2);

/** A client whose opening was answered sends its request within two ways of 3 ms and some for
    delays; one that doesn't has left, and takes no room. */
constexpr duration request_due_after = std::chrono::milliseconds(50);

/** Flows in the cache that were not used for this long are forgotten; longer than the pauses of
    long flows. */
constexpr duration flow_memory = std::chrono::seconds(20);
constexpr duration closed_flow_memory = std::chrono::seconds(2);

/** Data of a full packet; a shorter one ends an answer. */
constexpr std::uint32_t full_packet_bytes = 1200;

} // namespace

void packet_agent::take_envelope(time_point now, const packet_envelope& envelope, char* data,
                                 std::size_t size)
{
    ++counters_.received;
    if (envelope.kind == packet_envelope_kind::probe)
    {
        tell_balancer(now, packet_envelope_kind::load, {}, envelope.balancer);
        return;
    }
    if (envelope.kind == packet_envelope_kind::absent ||
        envelope.kind == packet_envelope_kind::holder)
    {
        take_inquiry_answer(now, envelope);
        return;
    }
    client_packet packet{{}, data, size};
    const bool carries_packet = envelope.kind == packet_envelope_kind::packet ||
                                envelope.kind == packet_envelope_kind::inquiry;
    if (!carries_packet || !format_.decode(packet.bytes(), packet.head))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    if (table_->held() == 0)
    {
        counters_.drops.add(packet_drop::no_table, early_.keep(now, envelope, packet.bytes()));
        return;
    }
    take_packet(now, envelope, packet);
}

void packet_agent::take_packet(time_point now, const packet_envelope& envelope,
                               const client_packet& packet)
{
    const packet_route* route = table_->find_route(packet.head.destination);
    if (route != nullptr)
    {
        packet.head.is_opening ? take_opening(now, envelope, *route, packet)
                               : take_flow_packet(now, envelope, *route, packet);
        return;
    }
    // A flow may have been opened on a route that is not known here yet.
    const bool is_known = packet.head.is_opening || table_->had_route(packet.head.destination);
    if (!is_known || packet.head.is_reset || !is_table_fresh(now) ||
        envelope.table_generation > table_->held())
    {
        note_dropped(packet_drop::no_route, envelope, packet.head);
        return;
    }
    note_reset(packet_reset::no_route, envelope, packet.head);
}

void packet_agent::take_flow_packet(time_point now, const packet_envelope& envelope,
                                    const packet_route& route, const client_packet& packet)
{
    auto found = flows_.find(packet.flow());
    if (found == flows_.end())
    {
        if (!table_->may_hold(route, service()))
        {
            pass_on(now, envelope, route, packet, pass_reason::wrong_service);
            return;
        }
        found = flows_.emplace(packet.flow(), flow{}).first;
    }
    flow& item = found->second;
    item.used = now;
    const bool is_inquiry = envelope.kind == packet_envelope_kind::inquiry;
    item.tell_holder = item.tell_holder || is_inquiry || envelope.position > 0;
    item.asker = is_inquiry ? envelope.candidates[0] : item.asker;
    item.balancer = envelope.balancer;
    item.client_finished = item.client_finished || packet.head.is_finish || packet.head.is_reset;
    if (packet.head.data_bytes != 0 && item.state != flow_state::searching)
    {
        item.state = flow_state::open;
        start_request(now, item);
        item.asked = item.asked == time_point() ? now : item.asked;
    }
    if (item.state == flow_state::open)
    {
        tell_where_it_is(now, packet.flow(), item);
    }
    deliver(envelope, packet);
}

void packet_agent::deliver(const packet_envelope& envelope, const client_packet& packet)
{
    format_.set_mark(packet.data, visits_.add(envelope));
    ++counters_.relayed;
    port_.send_to_server(packet.bytes());
}

void packet_agent::take_server_packet(time_point now, char* data, std::size_t size)
{
    client_packet packet{{}, data, size};
    const packet_head& head = packet.head;
    if (!format_.decode(packet.bytes(), packet.head))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    if (head.is_returned)
    {
        take_returned(now, packet);
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
    const bool ends_answer = head.data_bytes != 0 && head.data_bytes < full_packet_bytes;
    if (ends_answer || item.server_finished)
    {
        end_request(now, item, ends_answer);
    }
    tell_where_it_is(now, key, item);
    if (item.state == flow_state::opening && item.is_busy)
    {
        answered_openings_.emplace_back(now, key);
    }
    ++counters_.replies;
    port_.send_to_client(head.destination.address, packet.bytes());
    release_unanswered(now);
    admit_waiting(now);
}

void packet_agent::take_returned(time_point now, const client_packet& packet)
{
    const packet_envelope* visit = visits_.find(packet.head.mark);
    const auto known = flows_.find(packet.flow());
    if (known != flows_.end())
    {
        forget(now, known);
    }
    const packet_route* route = table_->find_route(packet.head.destination);
    if (visit == nullptr || route == nullptr)
    {
        note_dropped(packet_drop::no_route, packet_envelope{}, packet.head);
        return;
    }
    format_.set_mark(packet.data, 0);
    pass_on(now, *visit, *route, packet, pass_reason::not_here);
}

void packet_agent::pass_on(time_point now, packet_envelope envelope, const packet_route& route,
                           const client_packet& packet, pass_reason why)
{
    if (envelope.kind == packet_envelope_kind::inquiry)
    {
        answer_inquiry(now, packet_envelope_kind::absent, packet.flow(), envelope.candidates[0]);
        return;
    }
    counters_.passes.add(why);
    note("passed", pass_reason_names.name(why), envelope, packet.head);
    envelope.table_generation = std::max(envelope.table_generation, table_->held());
    if (packet.head.is_opening)
    {
        pass_opening_on(now, envelope, route, packet);
        return;
    }
    if (envelope.position == 0 && envelope.candidate_count == 1)
    {
        // It remembers the flow here.
        tell_balancer(now, packet_envelope_kind::absent, packet.flow(), envelope.balancer);
    }
    const endpoint next = next_candidate(envelope);
    if (next.is_none())
    {
        inquire(now, envelope, route, packet);
        return;
    }
    port_.send_envelope(next, envelope, packet.bytes());
}

/** Moves on to the envelope's next candidate; none when there is no other. */
endpoint packet_agent::next_candidate(packet_envelope& envelope) const
{
    const int end = envelope.candidate_count;
    do
    {
        envelope.position = static_cast<std::uint8_t>(std::min(envelope.position + 1, UINT8_MAX));
    } while (envelope.position < end && envelope.candidates[envelope.position] == own_.data);
    return envelope.position < end ? envelope.candidates[envelope.position] : endpoint{};
}

void packet_agent::pass_opening_on(time_point now, packet_envelope envelope,
                                   const packet_route& route, const client_packet& packet)
{
    const bool was_final = (envelope.flags & opening_flag_last_candidate) != 0;
    const std::uint8_t best = envelope.flags & opening_least_loaded_mask;
    endpoint next = next_candidate(envelope);
    if (was_final || (next.is_none() && best == 0 && !add_unvisited(envelope, route)))
    {
        refuse(now, envelope, packet.head);
        return;
    }
    if (next.is_none() && best != 0)
    {
        // All are full: the least loaded one queues or refuses it.
        envelope.flags |= opening_flag_last_candidate;
        envelope.position = static_cast<std::uint8_t>(best - 1U);
    }
    next = envelope.candidates[envelope.position];
    if (next == own_.data)
    {
        decide_opening(now, envelope, route, packet);
        return;
    }
    tell_balancer(now, packet_envelope_kind::load, {}, envelope.balancer);
    port_.send_envelope(next, envelope, packet.bytes());
}

/** Adds members that may take a new flow. Returns whether there were any. */
bool packet_agent::add_unvisited(packet_envelope& envelope, const packet_route& route) const
{
    const std::size_t before = envelope.candidate_count;
    for (const std::uint32_t service : route.services)
    {
        for (const packet_member& who : table_->members_of(service))
        {
            if (who.takes_new && who.data != own_.data && !envelope.has_candidate(who.data))
            {
                envelope.add_candidate(who.data);
            }
        }
    }
    return envelope.candidate_count > before;
}

bool packet_agent::is_table_fresh(time_point now) const
{
    return table_->held() != 0 && now - confirmed_ < table_fresh_for;
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
    decision.envelope_held = envelope.table_generation;
    decision.position = envelope.position;
    decision.candidate_count = envelope.candidate_count;
    decision.load = load();
    observer_.note(decision);
}

void packet_agent::tell_balancer(time_point now, packet_envelope_kind kind, const packet_flow& key,
                                 const endpoint& balancer)
{
    packet_envelope told = describe_load(now, kind);
    told.balancer = balancer;
    told.flow = key;
    port_.send_envelope(balancer, told, {});
}

packet_envelope packet_agent::describe_load(time_point now, packet_envelope_kind kind) const
{
    packet_envelope told;
    told.kind = kind;
    told.table_generation = table_->held();
    told.load = static_cast<std::uint16_t>(
        std::min<std::uint32_t>(load() * load_units_per_request, UINT16_MAX));
    told.service_time = meter_.time();
    told.slots = static_cast<std::uint8_t>(std::min<std::uint32_t>(server_.slots, UINT8_MAX));
    const bool takes_new = is_server_known(now) && !server_.is_draining && table_->held() != 0 &&
                           !table_->is_domain_out(own_.domain);
    const bool is_bounded =
        is_cold(now) && (now < cold_until_ || table_->cold_requests_per_s(service()) > 0.0);
    told.flags = static_cast<std::uint8_t>((takes_new ? 0 : load_flag_closed) |
                                           (is_bounded ? load_flag_cold : 0) |
                                           (failures_.is_suspect() ? load_flag_failing : 0));
    return told;
}

void packet_agent::start_request(time_point now, flow& item)
{
    if (item.is_busy)
    {
        return;
    }
    item.is_busy = true;
    item.found_free_slot = busy_ < server_.slots;
    item.busy_since = now;
    ++busy_;
}

void packet_agent::end_request(time_point now, flow& item, bool was_answered)
{
    if (!item.is_busy)
    {
        return;
    }
    item.is_busy = false;
    --busy_;
    const time_point asked = std::exchange(item.asked, time_point());
    if (was_answered)
    {
        meter_.note_answer(now, now - item.busy_since, item.found_free_slot, busy_, server_.slots);
        if (asked != time_point())
        {
            failures_.note_answer(now - asked);
        }
    }
}

void packet_agent::release_unanswered(time_point now)
{
    while (!answered_openings_.empty() &&
           now - answered_openings_.front().first >= request_due_after)
    {
        const auto found = flows_.find(answered_openings_.front().second);
        if (found != flows_.end() && found->second.state == flow_state::opening)
        {
            end_request(now, found->second, false);
        }
        answered_openings_.pop_front();
    }
}

void packet_agent::forget(time_point now, flow_map::iterator item)
{
    end_request(now, item->second, false);
    flows_.erase(item);
}

void packet_agent::tick(time_point now)
{
    forget_old_flows(now);
    release_unanswered(now);
    admit_waiting(now);
    conclude_inquiries(now);
    drop_expired_inquiries(now);
}

void packet_agent::forget_old_flows(time_point now)
{
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        const auto current = item++;
        flow& known = current->second;
        const duration age = now - known.used;
        const bool is_closed = known.client_finished && known.server_finished;
        if (age > busy_for_at_most)
        {
            end_request(now, known, false);
        }
        if (age > (is_closed ? closed_flow_memory : flow_memory))
        {
            forget(now, current);
        }
    }
}

} // namespace carawayshelf
