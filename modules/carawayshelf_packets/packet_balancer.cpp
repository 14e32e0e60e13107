#include "carawayshelf_packets/packet_balancer.hpp"

#include "carawayshelf_overload/opening_timing.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

/** Added to the cost of members whose backend server is cold or seems to fail, or that have not
    answered in time. Higher than the cost of any load. */
constexpr duration cold_cost = std::chrono::seconds(10);
constexpr duration failing_cost = std::chrono::seconds(20);
constexpr duration suspect_cost = std::chrono::seconds(100);

/** Assumed pace of a cold member that has sent no recent report, if other agents state paces. */
constexpr double assumed_cold_pace = 0.5;

load_tracker::report load_report_of(const packet_envelope& envelope)
{
    load_tracker::report report;
    report.load = static_cast<double>(envelope.load) / load_units_per_request;
    report.service_time = envelope.service_time;
    report.slots = envelope.slots;
    report.is_closed = (envelope.flags & load_flag_closed) != 0;
    report.is_cold = (envelope.flags & load_flag_cold) != 0;
    report.is_failing = (envelope.flags & load_flag_failing) != 0;
    if (envelope.pace != 0)
    {
        report.pace = static_cast<double>(envelope.pace) / pace_units;
    }
    return report;
}

} // namespace

packet_balancer::packet_balancer(const options& balancer_options, const packet_format& format,
                                 packet_port& port, packet_counters& counters,
                                 packet_observer& observer)
    : options_(balancer_options), format_(format), port_(port), counters_(counters),
      observer_(observer), domain_tag_(domain_tag(balancer_options.domain)),
      cache_(balancer_options.flow_cache_entries)
{
}

void packet_balancer::handle_packet(time_point now, const packet_table& table, bool is_fresh,
                                    std::string_view bytes, duration waited)
{
    ++counters_.received;
    packet_envelope envelope;
    envelope.waited = waited;
    if (table.held() == 0)
    {
        counters_.drops.add(packet_drop::no_table, early_packets_.add(now, envelope, bytes));
        return;
    }
    relay(now, table, is_fresh, envelope, bytes);
}

void packet_balancer::relay(time_point now, const packet_table& table, bool is_fresh,
                            packet_envelope envelope, std::string_view bytes)
{
    packet_header header;
    if (!format_.decode(bytes, header))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    envelope.table_generation = table.held();
    envelope.balancer = options_.data;
    envelope.caller_domain = domain_tag_;
    envelope.flow = {header.source, header.destination};
    const packet_route* route = table.find_route(header.destination);
    if (route == nullptr)
    {
        reject_unknown_route(table, is_fresh, envelope, header);
        return;
    }
    if (header.is_opening)
    {
        place_flow(now, table, *route, envelope);
    }
    else
    {
        search_flow(now, table, *route, envelope);
    }
    if (envelope.candidate_count == 0)
    {
        counters_.drops.add(packet_drop::no_member);
        report_decision("dropped", packet_drop_names.name(packet_drop::no_member), envelope,
                        header);
        return;
    }
    ++counters_.relayed;
    port_.send_envelope(envelope.candidates[0], envelope, bytes);
}

/** Drops or resets a packet whose route is not in the table. */
void packet_balancer::reject_unknown_route(const packet_table& table, bool is_fresh,
                                           const packet_envelope& envelope,
                                           const packet_header& header)
{
    // The route may be newer than this table, and another balancer may have placed the flow.
    const bool may_be_new =
        header.is_opening
            ? opening_timing::may_have_other_copies(header.acknowledged, envelope.waited)
            : !table.had_route(header.destination);
    if (!is_fresh || may_be_new || header.is_reset)
    {
        counters_.drops.add(packet_drop::no_route);
        report_decision("dropped", packet_drop_names.name(packet_drop::no_route), envelope, header);
        return;
    }
    counters_.resets.add(packet_reset::no_route);
    report_decision("reset", packet_reset_names.name(packet_reset::no_route), envelope, header);
    port_.send_reset(envelope.flow, reset_sequence(header));
}

void packet_balancer::send_early_packets(time_point now, const packet_table& table, bool is_fresh)
{
    if (early_packets_.is_empty() || table.held() == 0)
    {
        return;
    }
    const std::size_t dropped =
        early_packets_.send_all(now, port_,
                                [this, now, &table, is_fresh](early_packets::item& early)
                                { relay(now, table, is_fresh, early.envelope, early.packet); });
    counters_.drops.add(packet_drop::no_table, dropped);
}

void packet_balancer::report_decision(const char* action, std::string_view reason,
                                      const packet_envelope& envelope, const packet_header& header)
{
    packet_decision decision;
    decision.action = action;
    decision.reason = reason;
    decision.flow = envelope.flow;
    decision.is_opening = header.is_opening;
    decision.held = envelope.table_generation;
    decision.envelope_held = envelope.table_generation;
    decision.candidate_count = envelope.candidate_count;
    observer_.record(decision);
}

void packet_balancer::place_flow(time_point now, const packet_table& table,
                                 const packet_route& route, packet_envelope& envelope)
{
    const std::uint64_t flow_hash = hash_flow(envelope.flow);
    // Also the first opening packet may arrive after a retransmission that was placed.
    const endpoint known = cache_.find(flow_hash, now);
    if (table.has_agent(known) && !loads_.estimate(now, known).is_suspect)
    {
        envelope.add_candidate(known);
    }
    ranked_.clear();
    rank_members(now, table.members_of(table.choose_service(route, flow_hash)), flow_hash,
                 rank_purpose::placing);
    if (ranked_.empty())
    {
        // No member of the chosen service accepts new flows; a member of another service of the
        // route may.
        for (const packet_share& share : route.shares)
        {
            if (share.weight != 0)
            {
                rank_members(now, table.members_of(share.service), flow_hash,
                             rank_purpose::placing);
            }
        }
    }
    add_candidates(envelope, options_.placing.max_placement_candidates);
    if (envelope.candidate_count != 0)
    {
        ++counters_.placed;
        loads_.record_flow_placed(now, envelope.candidates[0]);
        cache_.put(flow_hash, envelope.candidates[0], now);
    }
}

/** Whether control marks an agent as silent and it has not answered this balancer in time either.
    An agent that only control marks as silent may still serve its flows. */
bool packet_balancer::is_unreachable(time_point now, const packet_table& table,
                                     const endpoint& agent)
{
    if (!table.is_silent(agent))
    {
        return false;
    }
    if (probes_left_ != 0 && loads_.start_probe_if_due(now, agent))
    {
        probe(table, agent);
    }
    return loads_.estimate(now, agent).is_suspect;
}

void packet_balancer::search_flow(time_point now, const packet_table& table,
                                  const packet_route& route, packet_envelope& envelope)
{
    const std::uint64_t flow_hash = hash_flow(envelope.flow);
    const endpoint known = cache_.find(flow_hash, now);
    if (table.has_agent(known) && !is_unreachable(now, table, known))
    {
        envelope.add_candidate(known);
        return;
    }
    ++counters_.searched;
    ranked_.clear();
    for (const std::uint32_t service : route.services)
    {
        rank_members(now, table.members_of(service), flow_hash, rank_purpose::searching);
    }
    add_candidates(envelope, options_.placing.max_search_candidates);
    probe_candidates(now, table, envelope);
}

/** Probes the candidates of a search. The search stops at an agent that doesn't answer, and the
    client retransmits after 200 ms; by then the probes have shown which agents to leave out. */
void packet_balancer::probe_candidates(time_point now, const packet_table& table,
                                       const packet_envelope& envelope)
{
    for (std::size_t i = 0; i < envelope.candidate_count && probes_left_ != 0; ++i)
    {
        if (loads_.start_probe_if_due(now, envelope.candidates[i]))
        {
            probe(table, envelope.candidates[i]);
        }
    }
}

void packet_balancer::probe(const packet_table& table, const endpoint& agent)
{
    --probes_left_;
    ++counters_.probes;
    packet_envelope probe_envelope;
    probe_envelope.kind = packet_envelope_kind::probe;
    probe_envelope.table_generation = table.held();
    probe_envelope.balancer = options_.data;
    probe_envelope.caller_domain = domain_tag_;
    port_.send_envelope(agent, probe_envelope, {});
}

void packet_balancer::rank_members(time_point now, const std::vector<packet_member>& members,
                                   std::uint64_t flow_hash, rank_purpose purpose)
{
    const bool is_placing = purpose == rank_purpose::placing;
    const std::size_t first_index = ranked_.size();
    for (const packet_member& member : members)
    {
        const load_estimate estimate = loads_.estimate(now, member.data);
        const bool is_suspect = estimate.is_suspect || member.is_silent;
        if (is_placing ? !member.accepts_new_flows || estimate.is_closed : is_suspect)
        {
            continue;
        }
        ranked_member ranked;
        ranked.member = &member;
        ranked.rank = rendezvous_rank(flow_hash, member.data);
        ranked.is_local = member.domain == options_.domain;
        ranked.cost = is_placing ? placement_cost(now, member, estimate) : duration(0);
        ranked.cost += ranked.is_local ? duration(0) : options_.placing.foreign_domain_cost;
        ranked.cost += is_suspect ? suspect_cost : duration(0);
        ranked_.push_back(ranked);
    }
    if (is_placing)
    {
        keep_highest_ranked(first_index, options_.placing.placement_ranked_members,
                            options_.placing.placement_local_members);
    }
    else
    {
        keep_highest_ranked(first_index, options_.placing.max_search_candidates,
                            options_.placing.max_search_candidates / 2);
    }
}

/** Expected time of a new request at a member, and what its state adds. The expected time is longer
    at a server that can take less than its usual rate; if the agents do not state that, a cold
    server comes after all others. */
duration packet_balancer::placement_cost(time_point now, const packet_member& member,
                                         const load_estimate& estimate) const
{
    const bool is_cold = estimate.is_known ? estimate.is_cold : member.is_cold;
    const bool is_assumed = is_cold && !estimate.is_known && loads_.do_agents_state_paces(now);
    const std::optional<double> pace =
        is_assumed ? std::optional<double>(assumed_cold_pace) : estimate.pace;
    duration cost = estimate.expected_time;
    if (pace)
    {
        cost = duration(
            static_cast<std::int64_t>(static_cast<double>(estimate.expected_time.count()) / *pace));
    }
    cost += is_cold && !is_assumed ? cold_cost : duration(0);
    cost += estimate.is_failing ? failing_cost : duration(0);
    return cost;
}

/** Of the members from first_index on, keeps max_count: first the highest-ranked ones of the
    balancer's failure domain, at most max_local, then the highest-ranked ones of all others. */
void packet_balancer::keep_highest_ranked(std::size_t first_index, std::size_t max_count,
                                          std::size_t max_local)
{
    const auto first = ranked_.begin() + static_cast<std::ptrdiff_t>(first_index);
    if (static_cast<std::size_t>(ranked_.end() - first) <= max_count)
    {
        return;
    }
    const auto ranks_higher = [](const ranked_member& a, const ranked_member& b)
    {
        return a.rank > b.rank;
    };
    const auto local_end = std::partition(
        first, ranked_.end(), [](const ranked_member& member) { return member.is_local; });
    auto kept = local_end;
    if (static_cast<std::size_t>(local_end - first) > max_local)
    {
        kept = first + static_cast<std::ptrdiff_t>(max_local);
        std::nth_element(first, kept, local_end, ranks_higher);
    }
    const auto end = first + static_cast<std::ptrdiff_t>(max_count);
    std::nth_element(kept, end, ranked_.end(), ranks_higher);
    ranked_.resize(first_index + max_count);
}

void packet_balancer::add_candidates(packet_envelope& envelope, std::size_t max_count)
{
    std::sort(ranked_.begin(), ranked_.end(),
              [](const ranked_member& a, const ranked_member& b)
              { return a.cost != b.cost ? a.cost < b.cost : a.rank > b.rank; });
    for (const ranked_member& ranked : ranked_)
    {
        if (envelope.candidate_count >= max_count)
        {
            return;
        }
        if (!envelope.has_candidate(ranked.member->data))
        {
            envelope.add_candidate(ranked.member->data);
        }
    }
}

void packet_balancer::handle_envelope(time_point now, const packet_envelope& envelope,
                                      const endpoint& sender)
{
    switch (envelope.kind)
    {
    case packet_envelope_kind::holder:
        cache_.put(hash_flow(envelope.flow), sender, now);
        break;
    case packet_envelope_kind::absent:
        cache_.erase(hash_flow(envelope.flow), sender);
        break;
    case packet_envelope_kind::load:
        break;
    case packet_envelope_kind::packet:
    case packet_envelope_kind::probe:
    case packet_envelope_kind::inquiry:
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    loads_.add_report(now, sender, load_report_of(envelope));
}

void packet_balancer::tick(time_point now, const packet_table& table)
{
    probes_left_ = max_probes_per_interval;
    loads_.expire(now);
    for (const endpoint& agent : loads_.take_suspects_to_probe(now, max_probes_per_interval))
    {
        if (table.has_agent(agent))
        {
            probe(table, agent);
        }
    }
}

} // namespace carawayshelf
