#include "agent_simulation.hpp"

#include "carawayshelf_steering/flow_key.hpp"

#include <algorithm>

namespace carawayshelf::fakes
{

namespace
{

constexpr std::size_t agent_slots = 5;
constexpr std::size_t balancer_count = 3;
constexpr std::size_t caller_count = 6;
constexpr std::uint32_t agent_address = 0x7F000400;
constexpr std::uint32_t balancer_address = 0x7F000200;
constexpr std::uint32_t caller_address = 0x7F000300;
constexpr std::uint16_t envelope_port = 7000;
constexpr duration lease = std::chrono::seconds(3);
constexpr duration flow_idle_timeout = std::chrono::seconds(300);
constexpr std::uint32_t ramp_start_per_s = 50;
constexpr std::uint32_t ramp_ms = 4000;
constexpr double ramp_final_factor = 10.0;
const std::string service_name = "ordering";

bool is_not_run(const coap_message& reply)
{
    return reply.payload.rfind("not run", 0) == 0;
}

service_entry make_entry()
{
    service_entry entry;
    entry.name = service_name;
    entry.owner = "hielo";
    entry.address = {0x7F000901, 5683};
    entry.limits.ramp_start_per_s = ramp_start_per_s;
    entry.limits.ramp_ms = ramp_ms;
    return entry;
}

} // namespace

agent_simulation::agent_simulation(std::uint64_t seed, injected_agent_faults faults)
    : faults_(faults), random_(seed), agents_(agent_slots), balancers_(balancer_count),
      callers_(caller_count)
{
    now_ = time_point(std::chrono::seconds(1000));
    put_service put;
    put.entry = make_entry();
    apply(put);
    for (std::size_t i = 0; i < agent_slots; ++i)
    {
        agents_[i].number = i;
    }
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        callers_[i].flow = {service()->id,
                            {caller_address + 1 + random(200), static_cast<std::uint16_t>(i + 1)}};
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        join(agents_[i]);
    }
    for (agent_slot& slot : agents_)
    {
        sync_agent(slot);
    }
    for (std::size_t i = 0; i < balancer_count; ++i)
    {
        sync_balancer(i);
    }
}

agent_simulation::~agent_simulation() = default;

std::uint32_t agent_simulation::random(std::uint32_t below)
{
    return static_cast<std::uint32_t>(random_() % below);
}

const service_state* agent_simulation::service() const
{
    return cluster_state_.find_service(service_name);
}

void agent_simulation::fail(const std::string& what)
{
    if (violation_.empty())
    {
        violation_ = what;
    }
}

change_result agent_simulation::apply(const change& edit)
{
    change_result result = cluster_state_.apply(++generation_, edit);
    record_owners();
    return result;
}

void agent_simulation::record_owners()
{
    if (service() == nullptr)
    {
        return;
    }
    for (const caller& from : callers_)
    {
        const auto flow = flows_.find(hash_of(from.flow));
        if (flow != flows_.end())
        {
            flow->second.bucket_owners.insert(service()->rows[bucket_of(from.flow)].owner);
        }
    }
}

void agent_simulation::run(const std::vector<history_step>& steps)
{
    for (const history_step& step : steps)
    {
        apply_step(step);
        if (!violation_.empty())
        {
            return;
        }
    }
    advance_to(now_ + std::chrono::seconds(2));
    for (const agent_slot& slot : agents_)
    {
        check_counters(slot);
    }
}

void agent_simulation::apply_step(const history_step& step)
{
    agent_slot& slot = agents_[step.selector % agents_.size()];
    caller& from = callers_[step.selector % callers_.size()];
    const std::string domain = step.selector % 2 == 0 ? "cuyo-a" : "cuyo-b";
    switch (step.kind)
    {
    case step_kind::call_get:
        call(from, false);
        break;
    case step_kind::call_post:
        call(from, true);
        break;
    case step_kind::call_retransmit:
        send_from_caller(from);
        break;
    case step_kind::advance:
        advance_to(now_ + std::chrono::milliseconds(1 + step.selector % 100));
        break;
    case step_kind::sync_agent:
        sync_agent(slot);
        break;
    case step_kind::sync_balancer:
        sync_balancer(step.selector % balancers_.size());
        break;
    case step_kind::report:
        report(slot);
        break;
    case step_kind::join:
        join(slot);
        break;
    case step_kind::drain:
        slot.is_draining = slot.core != nullptr;
        if (slot.core)
        {
            slot.core->set_draining(true);
            report(slot);
        }
        break;
    case step_kind::leave:
        if (slot.core && !slot.is_frozen && slot.is_draining && slot.core->flow_count() == 0 &&
            slot.core->is_idle() && slot.core->newest_generation() >= generation_)
        {
            retire(slot.member);
            slot.core.reset();
        }
        break;
    case step_kind::crash_agent:
        crash(slot);
        break;
    case step_kind::restart_server:
        if (slot.core && !slot.is_frozen)
        {
            slot.server = {slot.server.incarnation + 1, now_, 0};
            slot.running.clear();
            active_agent_ = slot.number;
            slot.core->server_started(now_);
        }
        break;
    case step_kind::restart_agent:
        restart_planned(slot);
        break;
    case step_kind::freeze_agent:
        if (slot.core && !slot.is_frozen)
        {
            slot.is_frozen = true;
            slot.unresponsive_since = now_;
        }
        break;
    case step_kind::resume_agent:
        slot.is_frozen = false;
        break;
    case step_kind::domain_out:
    case step_kind::domain_in:
    {
        set_domain_state domain_change;
        domain_change.domain = domain;
        domain_change.out = step.kind == step_kind::domain_out;
        const auto known = cluster_state_.data().domains.find(domain);
        domain_change.expected_version =
            known == cluster_state_.data().domains.end() ? 0 : known->second.changed_at;
        for (const auto& [id, listed_member] : cluster_state_.data().members)
        {
            if (domain_change.out && listed_member.domain == domain)
            {
                lost_members_[id] = generation_ + 1;
            }
        }
        apply(domain_change);
        if (domain_change.out)
        {
            domain_out_at_[domain] = generation_;
        }
        break;
    }
    case step_kind::edit_entry:
    {
        put_service put;
        put.entry = make_entry();
        put.entry.limits.server_queue = 4 + step.selector % 20;
        put.expected_version = cluster_state_.version_of(service_name);
        apply(put);
        break;
    }
    case step_kind::long_pause:
        advance_to(now_ + flow_idle_timeout + std::chrono::seconds(70));
        break;
    case step_kind::count:
        break;
    }
}

void agent_simulation::join(agent_slot& slot)
{
    if (slot.core)
    {
        return;
    }
    const member_id old_member = slot.member;
    const subscriber_table old_table = slot.table;
    slot.epoch = next_epoch_++;
    slot.counters = std::make_unique<agent_counters>();
    slot.core = std::make_unique<agent_core>(agent_settings{},
                                             faults_.echo_of_other_epoch_accepted ? 1 : slot.epoch,
                                             *this, *slot.counters);
    slot.table = subscriber_table();
    slot.is_frozen = false;
    slot.is_draining = false;
    slot.server = {slot.server.incarnation + 1, now_, 0};
    slot.running.clear();
    active_agent_ = slot.number;
    slot.core->server_started(now_);
    if (faults_.restart_adopts_without_control &&
        cluster_state_.data().members.count(old_member) != 0)
    {
        slot.table = old_table;
        slot.core->handle_table(now_, slot.table, service_name, old_member);
        return;
    }
    announce_member announce;
    announce.name = "agent-" + std::to_string(slot.number);
    announce.domain = domain_of(slot);
    announce.service = service_name;
    announce.data = {agent_address + static_cast<std::uint32_t>(slot.number), envelope_port};
    announce.epoch = slot.epoch;
    if (old_member != 0)
    {
        lost_members_[old_member] = generation_ + 1;
    }
    slot.member = apply(announce).member;
}

void agent_simulation::crash(agent_slot& slot)
{
    if (!slot.core)
    {
        return;
    }
    check_counters(slot);
    slot.core.reset();
    slot.unresponsive_since = now_;
    lost_members_[slot.member] = generation_ + 1;
}

void agent_simulation::restart_planned(agent_slot& slot)
{
    if (!slot.core || slot.is_frozen || slot.core->is_unconfirmed())
    {
        return;
    }
    active_agent_ = slot.number;
    slot.core->begin_export();
    advance_to(now_ + std::chrono::milliseconds(100));
    if (!slot.core->is_ready_for_export())
    {
        crash(slot); // Stopped before all requests were completed: no state is exported.
        return;
    }
    const std::optional<agent_restart_state> state =
        decode_restart_state(encode_restart_state(slot.core->export_state(now_)));
    slot.core =
        std::make_unique<agent_core>(agent_settings{}, next_epoch_++, *this, *slot.counters);
    advance_to(now_ + std::chrono::milliseconds(random(500)));
    active_agent_ = slot.number;
    slot.core->restore(now_, *state);
    slot.core->set_draining(slot.is_draining);
    slot.table = subscriber_table();
    sync_agent(slot);
}

void agent_simulation::retire(member_id member)
{
    apply(retire_member{member});
}

void agent_simulation::retire_expired()
{
    for (agent_slot& slot : agents_)
    {
        const bool is_unresponsive = !slot.core || slot.is_frozen;
        if (is_unresponsive && cluster_state_.data().members.count(slot.member) != 0 &&
            now_ - slot.unresponsive_since >= lease)
        {
            lost_members_[slot.member] = generation_ + 1;
            retire(slot.member);
        }
    }
}

void agent_simulation::sync_agent(agent_slot& slot)
{
    if (!slot.core || slot.is_frozen)
    {
        return;
    }
    if (cluster_state_.data().members.count(slot.member) == 0)
    {
        // Control has retired the member: start a new epoch, as the daemon does.
        slot.core.reset();
        join(slot);
    }
    slot.table.apply(cluster_state_.collect_update(slot.table.held(), service_name));
    slot.synced_at = now_;
    active_agent_ = slot.number;
    slot.core->handle_table(now_, slot.table, service_name, slot.member);
}

void agent_simulation::sync_balancer(std::size_t index)
{
    subscriber_table table;
    table.apply(cluster_state_.collect_update(0, ""));
    balancers_[index] = table.build_routing_table();
}

void agent_simulation::report(agent_slot& slot)
{
    if (!slot.core || slot.is_frozen)
    {
        return;
    }
    const member_state state = slot.is_draining           ? member_state::draining
                               : slot.core->is_cold(now_) ? member_state::cold
                                                          : member_state::warm;
    const auto known = cluster_state_.data().members.find(slot.member);
    if (known != cluster_state_.data().members.end() && known->second.state != state)
    {
        apply(set_member_state{slot.member, state});
    }
    release_buckets release{slot.member, slot.core->releasable_buckets()};
    if (faults_.release_any_empty_bucket)
    {
        release.buckets.clear();
        for (std::uint16_t bucket = 0; bucket < buckets_per_service; ++bucket)
        {
            bool is_empty = true;
            for (const caller& from : callers_)
            {
                is_empty =
                    is_empty && (bucket_of(from.flow) != bucket || !slot.core->holds(from.flow));
            }
            if (is_empty)
            {
                release.buckets.push_back({bucket, generation_});
            }
        }
    }
    if (!release.buckets.empty())
    {
        apply(release);
    }
}

void agent_simulation::call(caller& from, bool is_post)
{
    coap_message request;
    request.message_id = from.next_id++;
    request.token = std::to_string(request.message_id);
    request.code = is_post ? coap_codes::post : coap_codes::get;
    from.order_id = "q" + std::to_string(next_order_++);
    request.payload = from.order_id;
    from.is_post = is_post;
    from.message_id = request.message_id;
    from.last_datagram = encode_coap(request);
    from.is_waiting = true;
    send_from_caller(from);
}

void agent_simulation::send_from_caller(const caller& from)
{
    if (from.last_datagram.empty())
    {
        return;
    }
    delivery item;
    item.to = delivery::target::balancer;
    item.index = random(balancer_count);
    item.header.flow = from.flow;
    item.datagram = from.last_datagram;
    schedule_delivery(duration(random(5000)), item, true);
}

void agent_simulation::schedule_delivery(duration delay, delivery item, bool may_lose)
{
    if (may_lose && random(100) < 4)
    {
        return;
    }
    if (may_lose && random(100) < 6)
    {
        network_.emplace(now_ + duration(random(200000)), item);
    }
    network_.emplace(now_ + delay, std::move(item));
}

void agent_simulation::advance_to(time_point until)
{
    constexpr duration tick = std::chrono::milliseconds(20);
    while (now_ < until)
    {
        const time_point next_tick = std::min(until, now_ + (until - now_ > std::chrono::seconds(10)
                                                                 ? duration(std::chrono::seconds(1))
                                                                 : tick));
        while (!network_.empty() && network_.begin()->first <= next_tick)
        {
            now_ = std::max(now_, network_.begin()->first);
            const delivery item = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            deliver(item);
        }
        now_ = next_tick;
        for (agent_slot& slot : agents_)
        {
            if (slot.core && !slot.is_frozen)
            {
                active_agent_ = slot.number;
                slot.core->tick(now_);
            }
        }
        retire_expired();
    }
}

void agent_simulation::deliver(const delivery& item)
{
    switch (item.to)
    {
    case delivery::target::balancer:
        deliver_to_balancer(item);
        break;
    case delivery::target::agent:
        deliver_to_agent(agents_[item.index], item);
        break;
    case delivery::target::caller:
        for (caller& to : callers_)
        {
            if (to.flow == item.header.flow)
            {
                deliver_to_caller(to, item.datagram);
            }
        }
        break;
    case delivery::target::server:
        deliver_to_server(agents_[item.index], item);
        break;
    case delivery::target::agent_from_server:
    {
        agent_slot& slot = agents_[item.index];
        if (slot.core && !slot.is_frozen && slot.server.incarnation == item.incarnation)
        {
            active_agent_ = slot.number;
            slot.core->receive_from_server(now_, item.header.flow, item.datagram);
        }
        break;
    }
    }
}

void agent_simulation::deliver_to_balancer(const delivery& item)
{
    const routing_table& table = balancers_[item.index];
    routing_table::route route;
    if (faults_.balancer_answers_not_run && random(20) == 0)
    {
        const std::optional<coap_message> request = parse_coap(item.datagram);
        coap_message reply = make_empty(coap_type::acknowledgement, request->message_id);
        reply.code = coap_codes::unavailable;
        reply.token = request->token;
        reply.payload = "not run: balancer";
        delivery reply_delivery = item;
        reply_delivery.to = delivery::target::caller;
        reply_delivery.datagram = encode_coap(reply);
        schedule_delivery(duration(100), reply_delivery, false);
        return;
    }
    if (!table.find(item.header.flow, route) || route.owner.member == 0)
    {
        return;
    }
    envelope header;
    header.flow = item.header.flow;
    header.reply_to = {balancer_address + static_cast<std::uint32_t>(item.index), envelope_port};
    header.table_generation = table.held();
    header.row_generation = route.row_generation;
    header.owner = route.owner;
    header.earlier_count = static_cast<std::uint8_t>(route.earlier_count);
    header.earlier = route.earlier;
    send_envelope(route.owner.data, header, item.datagram);
}

void agent_simulation::deliver_to_agent(agent_slot& slot, delivery item)
{
    if (!slot.core || slot.is_frozen)
    {
        return;
    }
    if (faults_.visit_ignores_generation)
    {
        for (visit& past_visit : item.header.visits)
        {
            const std::pair<const service_id, subscriber_table::service>* known =
                slot.table.find_service(service_name);
            const generation own =
                known == nullptr ? 0 : known->second.rows[bucket_of(item.header.flow)].changed_at;
            past_visit.row_generation = std::max(own, item.header.row_generation);
        }
    }
    active_agent_ = slot.number;
    slot.core->receive_envelope(now_, item.header, item.datagram);
}

void agent_simulation::send_envelope(const endpoint& to, const envelope& header,
                                     std::string_view datagram)
{
    delivery item;
    item.header = header;
    item.datagram = std::string(datagram);
    if ((to.address & 0xFFFFFF00U) == balancer_address)
    {
        item.to = delivery::target::caller;
        schedule_delivery(duration(random(5000)), item, true);
        return;
    }
    item.to = delivery::target::agent;
    item.index = to.address - agent_address;
    schedule_delivery(duration(random(3000)), item, true);
}

void agent_simulation::send_to_server(const flow_key& key, std::string_view datagram)
{
    delivery item;
    item.to = delivery::target::server;
    item.index = active_agent_;
    item.header.flow = key;
    item.datagram = std::string(datagram);
    item.incarnation = agents_[active_agent_].server.incarnation;
    network_.emplace(now_ + duration(random(200)), std::move(item));
}

void agent_simulation::close_flow(const flow_key& /*key*/)
{
}

void agent_simulation::deliver_to_server(agent_slot& slot, const delivery& item)
{
    const std::optional<coap_message> request = parse_coap(item.datagram);
    if (!request || !request->is_request() || slot.server.incarnation != item.incarnation)
    {
        return;
    }
    check_run(slot, item.header.flow, *request);
    coap_message reply = make_empty(coap_type::acknowledgement, request->message_id);
    reply.code = coap_codes::content;
    reply.token = request->token;
    reply.payload = "ran " + request->payload;
    delivery reply_delivery = item;
    reply_delivery.to = delivery::target::agent_from_server;
    reply_delivery.datagram = encode_coap(reply);
    network_.emplace(now_ + duration(1000 + random(40000)), std::move(reply_delivery));
}

void agent_simulation::check_run(agent_slot& slot, const flow_key& flow,
                                 const coap_message& request)
{
    ++served_;
    const std::pair<std::uint64_t, std::uint16_t> message{hash_of(flow), request.message_id};
    run_messages_.insert(message);
    if (request.code == coap_codes::post && ++run_count_by_order_[request.payload] > 1)
    {
        fail("order " + request.payload + " ran twice");
    }
    if (request.code == coap_codes::post && refused_messages_.count(message) != 0)
    {
        fail("order " + request.payload + " ran after it was refused as not run");
    }
    ++slot.server.requests_since_start;
    const double age = std::chrono::duration<double>(now_ - slot.server.started).count();
    const double length = ramp_ms / 1000.0;
    if (age < length)
    {
        const double allowed =
            1.0 + ramp_start_per_s * age * (1.0 + (ramp_final_factor - 1.0) * age / length / 2.0);
        if (static_cast<double>(slot.server.requests_since_start) > allowed + 1e-6)
        {
            fail("a server got more requests after its start than the ramp permits");
        }
    }
    // A server whose failure domain was taken out of service may serve until its agent gets that
    // change. Such a run does not move the flow in the model, which shows where the other agents
    // expect the flow. An agent that gets no changes is retired by control.
    if (slot.core && !is_unaware_of_domain_out(slot))
    {
        check_domain_in_service(slot);
        check_holder(slot, flow, service()->rows[bucket_of(flow)].owner == slot.member);
    }
}

bool agent_simulation::is_lost(member_id member, generation since) const
{
    const auto lost = lost_members_.find(member);
    return lost != lost_members_.end() && lost->second >= since;
}

std::string agent_simulation::domain_of(const agent_slot& slot) const
{
    return slot.number % 2 == 0 ? "cuyo-a" : "cuyo-b";
}

bool agent_simulation::is_unaware_of_domain_out(const agent_slot& slot) const
{
    const auto domain_out_at = domain_out_at_.find(domain_of(slot));
    return domain_out_at != domain_out_at_.end() && domain_out_at->second > slot.table.held();
}

void agent_simulation::check_domain_in_service(const agent_slot& slot)
{
    constexpr duration max_delivery_delay = std::chrono::milliseconds(1);
    if (slot.table.is_domain_out(domain_of(slot)) && now_ - slot.synced_at > max_delivery_delay)
    {
        fail("a server got a request after its agent knew that its failure domain is out");
    }
}

void agent_simulation::check_holder(const agent_slot& slot, const flow_key& flow, bool is_owner)
{
    model_flow& known = flows_[hash_of(flow)];
    const bool is_idle = now_ - known.last_activity >= flow_idle_timeout - std::chrono::seconds(5);
    bool may_move = known.holder == 0 || is_idle || is_lost(known.holder, known.since);
    if (known.was_placed)
    {
        // A placement ends with the agent that made it.
        may_move = may_move || std::any_of(known.bucket_owners.begin(), known.bucket_owners.end(),
                                           [this, &known](member_id member)
                                           { return is_lost(member, known.since); });
    }
    if (known.holder != slot.member)
    {
        if (!may_move)
        {
            fail("a flow moved from member " + std::to_string(known.holder) + " to member " +
                 std::to_string(slot.member) + " although nothing had ended it");
        }
        known.holder = slot.member;
        known.since = generation_;
        known.was_placed = !is_owner;
        known.bucket_owners = {service()->rows[bucket_of(flow)].owner};
    }
    known.last_activity = now_;
}

void agent_simulation::deliver_to_caller(caller& to, const std::string& datagram)
{
    const std::optional<coap_message> reply = parse_coap(datagram);
    if (!reply || !reply->is_response())
    {
        return;
    }
    const std::pair<std::uint64_t, std::uint16_t> message{hash_of(to.flow), reply->message_id};
    if (is_not_run(*reply))
    {
        ++refused_;
        refused_messages_.insert(message);
        if (to.is_post && reply->message_id == to.message_id && run_messages_.count(message) != 0)
        {
            fail("order " + to.order_id + " was refused as not run, but it ran");
        }
    }
    if (!to.is_waiting || reply->message_id != to.message_id)
    {
        return;
    }
    if (reply->token != std::to_string(to.message_id))
    {
        fail("a caller got an answer with a wrong token");
    }
    if (reply->code == coap_codes::content && reply->payload != "ran " + to.order_id)
    {
        fail("caller sent " + to.order_id + " but got the answer " + reply->payload);
    }
    to.is_waiting = false;
    const std::string* echo = reply->find_option(coap_options::echo);
    if (to.is_post && echo != nullptr)
    {
        coap_message request_with_echo;
        request_with_echo.message_id = to.next_id++;
        request_with_echo.token = std::to_string(request_with_echo.message_id);
        request_with_echo.code = coap_codes::post;
        request_with_echo.payload = to.order_id;
        request_with_echo.add_option(coap_options::echo, *echo);
        to.message_id = request_with_echo.message_id;
        to.last_datagram = encode_coap(request_with_echo);
        to.is_waiting = true;
        send_from_caller(to);
    }
}

void agent_simulation::check_counters(const agent_slot& slot)
{
    if (!slot.counters)
    {
        return;
    }
    const agent_counters& counters = *slot.counters;
    if (counters.received !=
        counters.relayed + counters.answered + counters.passed + counters.dropped)
    {
        fail("agent " + std::to_string(slot.number) + " received " +
             std::to_string(counters.received) + " datagrams, but relayed " +
             std::to_string(counters.relayed) + ", answered " + std::to_string(counters.answered) +
             ", passed " + std::to_string(counters.passed) + ", dropped " +
             std::to_string(counters.dropped));
    }
}

} // namespace carawayshelf::fakes
