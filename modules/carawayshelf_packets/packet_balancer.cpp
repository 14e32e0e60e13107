#include "carawayshelf_packets/packet_balancer.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

/** Added for members that bear little, seem to fail what they get, or are likely not to answer;
    above any load. */
constexpr duration cold_cost = std::chrono::seconds(10);
constexpr duration failing_cost = std::chrono::seconds(20);
constexpr duration suspect_cost = std::chrono::seconds(100);

load_board::report load_of(const packet_envelope& told)
{
    load_board::report report;
    report.load = static_cast<double>(told.load) / load_units_per_request;
    report.service_time = told.service_time;
    report.slots = told.slots;
    report.is_closed = (told.flags & load_flag_closed) != 0;
    report.is_cold = (told.flags & load_flag_cold) != 0;
    report.is_failing = (told.flags & load_flag_failing) != 0;
    return report;
}

} // namespace

packet_balancer::packet_balancer(const options& own, const packet_format& format, packet_port& port,
                                 packet_counters& counters, packet_observer& observer)
    : own_(own), format_(format), port_(port), counters_(counters), observer_(observer),
      cache_(own.flow_cache_entries)
{
}

void packet_balancer::take_packet(time_point now, const packet_table& table, bool is_fresh,
                                  std::string_view bytes)
{
    ++counters_.received;
    if (table.held() == 0)
    {
        counters_.drops.add(packet_drop::no_table, early_.keep(now, {}, bytes));
        return;
    }
    relay(now, table, is_fresh, {}, bytes);
}

void packet_balancer::relay(time_point now, const packet_table& table, bool is_fresh,
                            packet_envelope envelope, std::string_view bytes)
{
    packet_head head;
    if (!format_.decode(bytes, head))
    {
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    envelope.table_generation = table.held();
    envelope.balancer = own_.data;
    envelope.flow = {head.source, head.destination};
    const packet_route* route = table.find_route(head.destination);
    if (route == nullptr)
    {
        refuse_unknown(table, is_fresh, envelope, head);
        return;
    }
    if (head.is_opening)
    {
        place(now, table, *route, head, envelope);
    }
    else
    {
        search(now, table, *route, envelope);
    }
    if (envelope.candidate_count == 0)
    {
        counters_.drops.add(packet_drop::no_member);
        note("dropped", packet_drop_names.name(packet_drop::no_member), envelope, head);
        return;
    }
    ++counters_.relayed;
    port_.send_envelope(envelope.candidates[0], envelope, bytes);
}

/** The packet's route is not known here. */
void packet_balancer::refuse_unknown(const packet_table& table, bool is_fresh,
                                     const packet_envelope& envelope, const packet_head& head)
{
    // A flow may have been opened on a route that is not known here yet.
    const bool may_be_new = !head.is_opening && !table.had_route(head.destination);
    if (!is_fresh || may_be_new || head.is_reset)
    {
        counters_.drops.add(packet_drop::no_route);
        note("dropped", packet_drop_names.name(packet_drop::no_route), envelope, head);
        return;
    }
    counters_.resets.add(packet_reset::no_route);
    note("reset", packet_reset_names.name(packet_reset::no_route), envelope, head);
    port_.send_reset(envelope.flow, reset_sequence(head));
}

void packet_balancer::release_early(time_point now, const packet_table& table, bool is_fresh)
{
    if (early_.is_empty() || table.held() == 0)
    {
        return;
    }
    const std::size_t dropped =
        early_.release(now, port_,
                       [this, now, &table, is_fresh](early_packets::item& early)
                       { relay(now, table, is_fresh, early.envelope, early.packet); });
    counters_.drops.add(packet_drop::no_table, dropped);
}

void packet_balancer::note(const char* what, std::string_view reason,
                           const packet_envelope& envelope, const packet_head& head)
{
    packet_decision decision;
    decision.what = what;
    decision.reason = reason;
    decision.flow = envelope.flow;
    decision.is_opening = head.is_opening;
    decision.held = envelope.table_generation;
    decision.envelope_held = envelope.table_generation;
    decision.candidate_count = envelope.candidate_count;
    observer_.note(decision);
}

void packet_balancer::place(time_point now, const packet_table& table, const packet_route& route,
                            const packet_head& head, packet_envelope& envelope)
{
    const std::uint64_t flow_hash = hash_flow(envelope.flow);
    const bool is_copy = head.acknowledged != 0;
    const endpoint known = is_copy ? cache_.find(flow_hash, now) : endpoint{};
    if (table.has_agent(known) && !loads_.estimate(now, known).is_suspect)
    {
        envelope.add_candidate(known);
    }
    ranked_.clear();
    rank_members(now, table.members_of(table.pick_service(route, flow_hash)), flow_hash,
                 rank_purpose::placing);
    if (ranked_.empty())
    {
        // The picked service has no member that takes new flows; another of the route's may.
        for (const packet_share& share : route.shares)
        {
            if (share.weight != 0)
            {
                rank_members(now, table.members_of(share.service), flow_hash,
                             rank_purpose::placing);
            }
        }
    }
    add_ranked(envelope, own_.placing.most_placements);
    if (envelope.candidate_count != 0)
    {
        ++counters_.placed;
        loads_.note_placed(now, envelope.candidates[0]);
        cache_.put(flow_hash, envelope.candidates[0], now);
    }
}

/** Whether neither control nor this balancer hears of an agent. One that only control doesn't hear
    of may still serve its flows. */
bool packet_balancer::is_lost(time_point now, const packet_table& table, const endpoint& agent)
{
    if (!table.is_silent(agent))
    {
        return false;
    }
    if (probes_left_ != 0 && loads_.wants_probe(now, agent))
    {
        probe(table, agent);
    }
    return loads_.estimate(now, agent).is_suspect;
}

void packet_balancer::search(time_point now, const packet_table& table, const packet_route& route,
                             packet_envelope& envelope)
{
    const std::uint64_t flow_hash = hash_flow(envelope.flow);
    const endpoint known = cache_.find(flow_hash, now);
    if (table.has_agent(known) && !is_lost(now, table, known))
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
    add_ranked(envelope, own_.placing.searched_among);
    probe_candidates(now, table, envelope);
}

/** The search ends at an agent that doesn't answer. The client sends again after 200 ms; by then
    the probes have shown which agents not to wait for. */
void packet_balancer::probe_candidates(time_point now, const packet_table& table,
                                       const packet_envelope& envelope)
{
    for (std::size_t i = 0; i < envelope.candidate_count && probes_left_ != 0; ++i)
    {
        if (loads_.wants_probe(now, envelope.candidates[i]))
        {
            probe(table, envelope.candidates[i]);
        }
    }
}

void packet_balancer::probe(const packet_table& table, const endpoint& agent)
{
    --probes_left_;
    ++counters_.probes;
    packet_envelope asked;
    asked.kind = packet_envelope_kind::probe;
    asked.table_generation = table.held();
    asked.balancer = own_.data;
    port_.send_envelope(agent, asked, {});
}

void packet_balancer::rank_members(time_point now, const std::vector<packet_member>& members,
                                   std::uint64_t flow_hash, rank_purpose purpose)
{
    const bool is_placing = purpose == rank_purpose::placing;
    const std::size_t already = ranked_.size();
    for (const packet_member& who : members)
    {
        const load_estimate estimate = loads_.estimate(now, who.data);
        const bool is_suspect = estimate.is_suspect || who.is_silent;
        if (is_placing ? !who.takes_new || estimate.is_closed : is_suspect)
        {
            continue;
        }
        ranked_member ranked;
        ranked.who = &who;
        ranked.rank = rank_holder(flow_hash, who.data);
        ranked.is_near = who.domain == own_.domain;
        ranked.cost = is_placing ? estimate.expected : duration(0);
        ranked.cost += ranked.is_near ? duration(0) : own_.placing.foreign_domain_cost;
        const bool is_cold = estimate.is_known ? estimate.is_cold : who.is_cold;
        ranked.cost += is_placing && is_cold ? cold_cost : duration(0);
        ranked.cost += is_placing && estimate.is_failing ? failing_cost : duration(0);
        ranked.cost += is_suspect ? suspect_cost : duration(0);
        ranked_.push_back(ranked);
    }
    if (is_placing)
    {
        keep_first_ranked(already, own_.placing.placed_among, own_.placing.placed_near);
    }
    else
    {
        keep_first_ranked(already, own_.placing.searched_among, own_.placing.searched_among / 2);
    }
}

/** Of those behind the first ones, keeps some that rank first in the own failure domain, and those
    that rank first among the others. */
void packet_balancer::keep_first_ranked(std::size_t already, std::size_t most, std::size_t near)
{
    const auto first = ranked_.begin() + static_cast<std::ptrdiff_t>(already);
    if (static_cast<std::size_t>(ranked_.end() - first) <= most)
    {
        return;
    }
    const auto ranks_before = [](const ranked_member& a, const ranked_member& b)
    {
        return a.rank > b.rank;
    };
    const auto near_end =
        std::partition(first, ranked_.end(), [](const ranked_member& who) { return who.is_near; });
    auto kept = near_end;
    if (static_cast<std::size_t>(near_end - first) > near)
    {
        kept = first + static_cast<std::ptrdiff_t>(near);
        std::nth_element(first, kept, near_end, ranks_before);
    }
    const auto end = first + static_cast<std::ptrdiff_t>(most);
    std::nth_element(kept, end, ranked_.end(), ranks_before);
    ranked_.resize(already + most);
}

void packet_balancer::add_ranked(packet_envelope& envelope, std::size_t most)
{
    std::sort(ranked_.begin(), ranked_.end(),
              [](const ranked_member& a, const ranked_member& b)
              { return a.cost != b.cost ? a.cost < b.cost : a.rank > b.rank; });
    for (const ranked_member& ranked : ranked_)
    {
        if (envelope.candidate_count >= most)
        {
            return;
        }
        if (!envelope.has_candidate(ranked.who->data))
        {
            envelope.add_candidate(ranked.who->data);
        }
    }
}

void packet_balancer::take_envelope(time_point now, const packet_envelope& envelope,
                                    const endpoint& sender)
{
    switch (envelope.kind)
    {
    case packet_envelope_kind::holder:
        cache_.put(hash_flow(envelope.flow), sender, now);
        break;
    case packet_envelope_kind::absent:
        cache_.forget(hash_flow(envelope.flow), sender);
        break;
    case packet_envelope_kind::load:
        break;
    case packet_envelope_kind::packet:
    case packet_envelope_kind::probe:
    case packet_envelope_kind::inquiry:
        counters_.drops.add(packet_drop::malformed);
        return;
    }
    loads_.take_report(now, sender, load_of(envelope));
}

void packet_balancer::tick(time_point now, const packet_table& table)
{
    probes_left_ = most_probes;
    loads_.expire(now);
    for (const endpoint& agent : loads_.suspects_to_probe(now, most_probes))
    {
        if (table.has_agent(agent))
        {
            probe(table, agent);
        }
    }
}

} // namespace carawayshelf
