#include "carawayshelf_packets/packet_agent.hpp"

#include <algorithm>

namespace carawayshelf
{

packet_agent::packet_agent(const options& agent_options, const packet_format& format,
                           packet_port& port, packet_counters& counters, packet_observer& observer)
    : options_(agent_options), format_(format), port_(port), counters_(counters),
      observer_(observer), table_(std::make_shared<const packet_table>()),
      settle_tracker_(agent_options.data), admission_(agent_options.load),
      pace_monitor_(admission_, counters, observer),
      pending_openings_(agent_options.load.shortage, format, *this, counters, observer),
      server_(agent_options.service, agent_options.server, agent_options.announce_interval),
      restart_detector_(agent_options.announce_interval)
{
}

void packet_agent::set_table(time_point now, std::shared_ptr<const packet_table> table)
{
    const bool was_out = table_->is_domain_out(options_.domain);
    const bool is_first = table_->held() == 0;
    settle_tracker_.handle_table(now, *table_, *table, server_.service());
    table_ = std::move(table);
    if (is_first)
    {
        first_table_at_ = now;
        pace_monitor_.begin(now, pace_start::agent_start);
    }
    if (is_first && !server_.has_announced())
    {
        use_recorded_state(now);
    }
    if (was_out && !table_->is_domain_out(options_.domain))
    {
        // The backend server may have become cold meanwhile; its next announcement shows this.
        server_.require_announcement();
        pace_monitor_.begin(now, pace_start::domain_return);
    }
    pending_openings_.admit(now);
    send_early_packets(now);
    send_inquiries_to_changed_members();
    conclude_inquiries(now);
}

void packet_agent::confirm_table(time_point now, time_point asked_at)
{
    confirmed_at_ = asked_at;
    conclude_inquiries(now);
}

/** Uses the state that control has recorded until the backend server announces itself. This is safe
    because draining is acknowledged only once control has recorded it: if the first table shows
    that the member accepts new flows, no draining of its server has been acknowledged. */
void packet_agent::use_recorded_state(time_point now)
{
    const packet_member* own_member = table_->find_member(options_.service, options_.data);
    if (own_member == nullptr || !own_member->accepts_new_flows)
    {
        return;
    }
    server_.use_recorded_state(now);
}

void packet_agent::send_early_packets(time_point now)
{
    if (early_packets_.is_empty() || table_->held() == 0)
    {
        return;
    }
    const std::size_t dropped = early_packets_.send_all(
        now, port_,
        [this, now](early_packets::item& early)
        {
            client_packet packet{{}, early.packet.data(), early.packet.size()};
            if (format_.decode(packet.bytes(), packet.header))
            {
                handle_packet(now, early.envelope, packet);
            }
        });
    counters_.drops.add(packet_drop::no_table, dropped);
}

announcement_verdict packet_agent::handle_announcement(time_point now,
                                                       const server_announcement& announcement)
{
    const backend_server_state::announcement_result result =
        server_.handle_announcement(now, announcement);
    note_announcement(now, result);
    if (result.verdict != announcement_verdict::applied)
    {
        return result.verdict;
    }
    if (result.is_new_incarnation)
    {
        admission_.reset_measurements(now);
    }
    pace_monitor_.handle_announcement(now, result, server_.is_announced_cold(now));
    pending_openings_.admit(now);
    return result.verdict;
}

bool packet_agent::handle_departure(const std::string& id)
{
    return server_.handle_departure(id);
}

void packet_agent::handle_server_end(time_point now)
{
    if (!server_.has_departed())
    {
        return;
    }
    if (const std::optional<time_point> openings_until =
            restart_detector_.end_after_departure(now, max_flow_age))
    {
        end_sessions(now, *openings_until);
    }
    while (!flows_.empty())
    {
        erase_flow(now, flows_.begin());
    }
    has_no_earlier_flows_ = true;
}

/** Whether each open flow of the backend server is in flows_. */
bool packet_agent::knows_all_flows(time_point now) const
{
    return has_no_earlier_flows_ ||
           (first_table_at_ != time_point() && now - first_table_at_ >= max_flow_age);
}

void packet_agent::handle_opening(time_point now, const packet_envelope& envelope,
                                  const packet_route& route, const client_packet& packet)
{
    const auto known = flows_.find(packet.flow());
    if (known != flows_.end() && known->second.is_admitted)
    {
        if (known->second.state == flow_state::opening)
        {
            known->second.opening_given_at = now;
            notify_balancer(now, packet_envelope_kind::holder, packet.flow(), envelope);
            deliver(envelope, packet);
        }
        return; // A retransmission. If the flow is open already, it is delayed, and dropped.
    }
    if (!pending_openings_.handle_copy(now, envelope, packet.header))
    {
        decide_opening(now, envelope, route, packet);
    }
}

void packet_agent::decide_opening(time_point now, const packet_envelope& envelope,
                                  const packet_route& route, const client_packet& packet)
{
    const forward_reason refusal = try_admit(now, envelope, route, packet);
    if (refusal == forward_reason::none)
    {
        pending_openings_.record_admission(now, route);
    }
    else if (refusal == forward_reason::full || refusal == forward_reason::max_flows ||
             refusal == forward_reason::failing)
    {
        forward_or_queue(now, envelope, route, packet, refusal);
    }
    else
    {
        forward(now, envelope, route, packet, refusal);
    }
}

forward_reason packet_agent::try_admit(time_point now, const packet_envelope& envelope,
                                       const packet_route& route, const client_packet& packet)
{
    const forward_reason reason = check_admission(now, envelope, route, packet.header.destination);
    if (reason == forward_reason::none)
    {
        admit_flow(now, envelope, packet);
    }
    return reason;
}

opening_attributes packet_agent::opening_of(const packet_envelope& envelope,
                                            const packet_route& route) const
{
    opening_attributes opening;
    opening.is_routed_here = table_->routes_new_flows_to(route, server_.service());
    opening.is_idempotent = route.requests != request_class::non_idempotent;
    opening.is_last_candidate = (envelope.flags & opening_flag_last_candidate) != 0;
    opening.caller_domain = envelope.caller_domain;
    return opening;
}

forward_reason packet_agent::check_admission(time_point now, const packet_envelope& envelope,
                                             const packet_route& route, const endpoint& address)
{
    return admission_.check(now, admission_state(now, address), opening_of(envelope, route));
}

server_admission_state packet_agent::admission_state(time_point now, const endpoint& address) const
{
    server_admission_state state;
    state.is_known = server_.is_known(now) && table_->held() != 0;
    state.is_draining = server_.is_draining();
    state.is_domain_out = table_->is_domain_out(options_.domain);
    state.is_settled = settle_tracker_.is_settled(now, address);
    state.is_cold = server_.is_cold(now);
    state.cold_requests_per_s = table_->cold_requests_per_s(server_.service());
    state.max_flows = table_->max_flows(server_.service());
    state.flow_count = flows_.size();
    state.requests_in_flight = requests_in_flight_;
    state.slots = server_.slots();
    state.requests_ahead = options_.requests_ahead;
    return state;
}

void packet_agent::admit_flow(time_point now, const packet_envelope& envelope,
                              const client_packet& packet)
{
    returned_flows_.remove(packet.flow());
    flow& placed = flows_[packet.flow()];
    placed.state = flow_state::opening;
    placed.is_admitted = true;
    placed.balancer = envelope.balancer;
    placed.caller_domain = envelope.caller_domain;
    placed.last_used = now;
    placed.opening_given_at = now;
    placed.acknowledged.reset(); // Of an earlier flow between the same addresses.
    start_request(now, placed);
    ++counters_.placed;
    notify_balancer(now, packet_envelope_kind::holder, packet.flow(), envelope);
    deliver(envelope, packet);
}

void packet_agent::forward_or_queue(time_point now, packet_envelope envelope,
                                    const packet_route& route, const client_packet& packet,
                                    forward_reason reason)
{
    if ((envelope.flags & opening_flag_last_candidate) != 0)
    {
        pending_openings_.add(now, envelope, route, packet, reason);
        return;
    }
    const bool is_first = (envelope.flags & opening_least_loaded_mask) == 0;
    const std::uint32_t own_load = admission_.comparison_load(
        pending_openings_.load_ahead(now, route.priority), server_.slots(), options_.requests_ahead,
        opening_of(envelope, route), reason);
    if (is_first || own_load < envelope.load)
    {
        envelope.load = static_cast<std::uint16_t>(std::min<std::uint32_t>(own_load, UINT16_MAX));
        envelope.flags = static_cast<std::uint8_t>((envelope.flags & ~opening_least_loaded_mask) |
                                                   (envelope.position + 1U));
    }
    forward(now, envelope, route, packet, reason);
}

server_capacity packet_agent::capacity() const
{
    return {service_time_meter_.time(), request_time_meter_.time(),
            admission_.usable_slots(server_.slots(), options_.requests_ahead), requests_in_flight_,
            admission_.request_limit(server_.slots(), options_.requests_ahead)};
}

const packet_route* packet_agent::find_route(const endpoint& address) const
{
    return table_->find_route(address);
}

void packet_agent::flush()
{
    port_.flush();
}

/** Whether all members are likely to answer, and the limit of inquiries allows to ask them. */
bool packet_agent::can_ask_members(time_point now, const packet_route& route,
                                   const packet_flow& key) const
{
    const auto has_silent_member = [this](std::uint32_t service)
    {
        const std::vector<packet_member>& members = table_->members_of(service);
        return std::any_of(members.begin(), members.end(),
                           [](const packet_member& member) { return member.is_silent; });
    };
    return !inquiries_.is_full() && !inquiries_.contains(key) && knows_all_flows(now) &&
           is_table_fresh(now) &&
           std::none_of(route.services.begin(), route.services.end(), has_silent_member);
}

} // namespace carawayshelf
