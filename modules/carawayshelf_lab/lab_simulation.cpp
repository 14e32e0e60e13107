#include "carawayshelf_lab/lab_simulation.hpp"

#include "carawayshelf_lab/lab_nodes.hpp"

namespace carawayshelf::lab
{

namespace
{

constexpr std::uint32_t agent_network = 0x0A000000;
constexpr std::uint32_t balancer_network = 0x0B000000;
constexpr std::uint16_t data_port = 7000;
constexpr duration announce_interval = std::chrono::milliseconds(770);
constexpr duration confirm_interval = std::chrono::milliseconds(250);
constexpr duration lease = std::chrono::seconds(3);
constexpr duration min_update_delay = std::chrono::milliseconds(5);
constexpr duration max_update_delay = std::chrono::milliseconds(130);
constexpr duration process_start_time =
    std::chrono::milliseconds(60); ///< Until a process is ready.
constexpr duration time_before_traffic = std::chrono::seconds(4);

} // namespace

lab_simulation::lab_simulation(const lab_scenario& scenario, const lab_policy& policy,
                               std::uint64_t seed, policy_result& result)
    : scenario_(scenario), policy_(policy), result_(result), random_(seed),
      clients_(events_, scenario, random_, result,
               [this](std::size_t domain, const model_packets::layout& packet)
               { route_client_packet(domain, packet); })
{
    configure();
    for (std::size_t i = 0; i < scenario.balancers; ++i)
    {
        add_balancer(i);
    }
    for (const lab_service& service : scenario.services)
    {
        for (std::size_t i = 0; i < service.servers; ++i)
        {
            add_agent(service, agents_.size());
        }
    }
}

lab_simulation::~lab_simulation() = default;

void lab_simulation::run()
{
    events_.run_until(events_.now() + time_before_traffic);
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        balancer->link = model_link(scenario_.link_kbit_per_s);
    }
    signalling_bytes_ = 0;
    clients_.start();
    schedule_events();
    send_reports();
    duration longest_deadline{0};
    for (const lab_request_kind& kind : scenario_.requests)
    {
        longest_deadline = std::max(longest_deadline, kind.deadline);
    }
    events_.run_until(events_.now() + scenario_.length + longest_deadline);
    result_.add_signalling_bytes(signalling_bytes_);
    result_.record_imbalance(busiest_over_mean());
}

void lab_simulation::configure()
{
    traffic_configuration configuration;
    configuration.version = 1;
    for (const lab_service& service : scenario_.services)
    {
        configuration.services.push_back({service.name, 0, 0.0});
    }
    for (std::size_t i = 0; i < scenario_.requests.size(); ++i)
    {
        const lab_request_kind& kind = scenario_.requests[i];
        traffic_route route;
        route.name = kind.name;
        route.address = model_clients::address_of(i);
        route.requests =
            kind.is_idempotent ? request_class::idempotent : request_class::non_idempotent;
        route.timeout_ms = static_cast<std::uint32_t>(kind.deadline.count() / 1000);
        route.target_latency_ms = static_cast<std::uint32_t>(kind.target.count() / 1000);
        route.priority = kind.priority;
        route.shares = {{kind.service, 1}};
        configuration.routes.push_back(route);
    }
    control_state_.apply(++last_generation_, replace_configuration{configuration});
}

/** Registers a node under its address, and sets the callbacks for what it sends. */
void lab_simulation::register_node(node& added)
{
    nodes_by_address_[added.data] = &added;
    added.port.on_envelope = [this, &added](const endpoint& to, const packet_envelope& envelope,
                                            const std::string& packet)
    {
        send_envelope(added, to, envelope, packet);
    };
    added.port.on_client_packet = [this](const std::string& packet)
    {
        send_to_client(packet);
    };
}

void lab_simulation::add_balancer(std::size_t index)
{
    balancers_.push_back(std::make_unique<balancer_node>(scenario_.link_kbit_per_s));
    balancer_node& added = *balancers_.back();
    added.data = {balancer_network + static_cast<std::uint32_t>(index) + 1, data_port};
    added.domain = index % scenario_.failure_domains;
    register_node(added);
    start_balancer(added);
}

void lab_simulation::add_agent(const lab_service& service, std::size_t index)
{
    agents_.push_back(std::make_unique<agent_node>(0));
    agent_node& added = *agents_.back();
    added.number = index;
    added.data = {agent_network + static_cast<std::uint32_t>(index) + 1, data_port};
    added.domain = index % scenario_.failure_domains;
    added.name = "server-" + std::to_string(index);
    added.service = &service;
    register_node(added);
    constexpr duration server_latency = std::chrono::microseconds(50);
    added.server = std::make_unique<model_server>(
        events_, service, random_, scenario_.requests,
        [this, &added, server_latency](const model_packets::layout& packet)
        {
            events_.schedule_after(server_latency,
                                   [this, &added, packet]
                                   {
                                       if (added.is_up)
                                       {
                                           std::string bytes = model_packets::encode(packet);
                                           added.core->handle_server_packet(
                                               events_.now(), bytes.data(), bytes.size());
                                       }
                                   });
        });
    added.port.on_server_packet = [this, &added, server_latency](const std::string& packet)
    {
        events_.schedule_after(server_latency, [&added, packet]
                               { added.server->handle_packet(model_packets::read(packet)); });
    };
    start_server(added);
    start_agent(added);
}

void lab_simulation::stop_node(node& target)
{
    ++target.incarnation;
    target.is_up = false;
    target.table = subscriber_table();
    target.traffic_table = std::make_shared<const packet_table>();
}

/** Brings a node up after the start time of a process, unless it is stopped in the meantime. */
void lab_simulation::schedule_node_up(node& target,
                                      const std::function<void(std::uint64_t incarnation)>& on_up)
{
    events_.schedule_after(process_start_time,
                           [this, &target, on_up, incarnation = target.incarnation]
                           {
                               if (target.incarnation == incarnation)
                               {
                                   target.is_up = true;
                                   publish(target);
                                   confirm(target, incarnation);
                                   on_up(incarnation);
                               }
                           });
}

void lab_simulation::start_balancer(balancer_node& target)
{
    stop_node(target);
    packet_balancer::options settings;
    settings.data = target.data;
    settings.domain = domain_name(target.domain);
    settings.placing = policy_.placing;
    target.core = std::make_unique<packet_balancer>(settings, format_, target.port, target.counters,
                                                    target.observer);
    schedule_node_up(target, [this, &target](std::uint64_t incarnation)
                     { tick_balancer(target, incarnation); });
}

void lab_simulation::start_agent(agent_node& target)
{
    stop_node(target);
    packet_agent::options settings;
    settings.data = target.data;
    settings.domain = domain_name(target.domain);
    settings.service = target.service->name;
    settings.announce_interval = announce_interval;
    settings.requests_ahead = policy_.requests_ahead;
    settings.load = policy_.load;
    target.core = std::make_unique<packet_agent>(settings, format_, target.port, target.counters,
                                                 target.observer);
    schedule_node_up(target,
                     [this, &target](std::uint64_t incarnation)
                     {
                         announce(target, incarnation);
                         tick_agent(target, incarnation);
                     });
}

void lab_simulation::start_server(agent_node& target)
{
    target.server->start();
    target.announcements = 0;
}

void lab_simulation::tick_balancer(balancer_node& target, std::uint64_t incarnation)
{
    if (target.incarnation != incarnation)
    {
        return;
    }
    target.core->tick(events_.now(), *target.traffic_table);
    events_.schedule_after(packet_balancer::probe_interval,
                           [this, &target, incarnation] { tick_balancer(target, incarnation); });
}

void lab_simulation::tick_agent(agent_node& target, std::uint64_t incarnation)
{
    if (target.incarnation != incarnation)
    {
        return;
    }
    target.core->tick(events_.now());
    events_.schedule_after(packet_agent::tick_interval,
                           [this, &target, incarnation] { tick_agent(target, incarnation); });
}

void lab_simulation::announce(agent_node& target, std::uint64_t incarnation)
{
    if (target.incarnation != incarnation)
    {
        return;
    }
    events_.schedule_after(announce_interval,
                           [this, &target, incarnation] { announce(target, incarnation); });
    if (!target.server->is_up())
    {
        return;
    }
    server_announcement announcement;
    announcement.id = target.name + "-" + std::to_string(target.server->incarnation());
    announcement.service = target.service->name;
    announcement.started_at = target.server->incarnation();
    announcement.sequence = ++target.announcements;
    announcement.is_draining = target.server->is_draining();
    announcement.cold_for = target.server->remaining_cold_time();
    announcement.slots = target.service->slots;
    target.core->handle_announcement(events_.now(), announcement);
    announce_member edit;
    edit.name = target.name;
    edit.domain = domain_name(target.domain);
    edit.service = target.service->name;
    edit.data = target.data;
    edit.epoch = target.incarnation;
    edit.protocol = flow_protocol::packets;
    edit.state = announcement.cold_for > duration(0) ? member_state::cold : member_state::warm;
    const change_result applied = control_state_.apply(++last_generation_, edit);
    target.member = applied.member;
    const member_state state = announcement.is_draining ? member_state::draining : edit.state;
    if (control_state_.data().members.at(target.member).state != state)
    {
        control_state_.apply(++last_generation_, set_member_state{target.member, state});
    }
    if (control_state_.data().held == last_generation_ || applied.made_at == last_generation_)
    {
        publish_to_all();
    }
    schedule_lease_check(target);
}

/** Marks the member as silent if it does not announce itself again within its lease. */
void lab_simulation::schedule_lease_check(agent_node& target)
{
    events_.schedule_after(lease,
                           [this, &target, member = target.member, count = target.announcements]
                           {
                               if (target.announcements == count && target.member == member &&
                                   control_state_.data().members.count(member) != 0)
                               {
                                   apply_change(set_member_state{member, member_state::silent});
                               }
                           });
}

void lab_simulation::apply_change(const carawayshelf::change& edit)
{
    control_state_.apply(++last_generation_, edit);
    publish_to_all();
}

void lab_simulation::publish_to_all()
{
    for (const auto& [address, other] : nodes_by_address_)
    {
        publish(*other);
    }
}

void lab_simulation::publish(node& target)
{
    std::uniform_int_distribution<std::int64_t> delay(min_update_delay.count(),
                                                      max_update_delay.count());
    events_.schedule_after(
        duration(delay(random_)),
        [this, &target, incarnation = target.incarnation]
        {
            if (target.incarnation != incarnation || !target.is_up ||
                target.table.held() == control_state_.data().held ||
                !target.table.apply(control_state_.collect_update(target.table.held(), "")))
            {
                return;
            }
            target.traffic_table = std::make_shared<const packet_table>(
                packet_table::update(target.table, *target.traffic_table));
            if (agent_node* agent = dynamic_cast<agent_node*>(&target))
            {
                agent->core->set_table(events_.now(), target.traffic_table);
            }
            if (balancer_node* balancer = dynamic_cast<balancer_node*>(&target))
            {
                balancer->core->send_early_packets(events_.now(), *target.traffic_table, true);
            }
        });
}

void lab_simulation::confirm(node& target, std::uint64_t incarnation)
{
    if (target.incarnation != incarnation)
    {
        return;
    }
    target.confirm(events_.now());
    events_.schedule_after(confirm_interval,
                           [this, &target, incarnation] { confirm(target, incarnation); });
}

} // namespace carawayshelf::lab
