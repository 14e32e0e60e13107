#include "carawayshelf_lab/lab_world.hpp"

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
constexpr duration shortest_news = std::chrono::milliseconds(5);
constexpr duration longest_news = std::chrono::milliseconds(130);
constexpr duration start_time = std::chrono::milliseconds(60); ///< Of a process.
constexpr duration before_traffic = std::chrono::seconds(4);

} // namespace

lab_world::lab_world(const lab_scenario& scenario, const lab_policy& policy, std::uint64_t seed,
                     policy_result& result)
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

lab_world::~lab_world() = default;

void lab_world::run()
{
    events_.run_until(events_.now() + before_traffic);
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        balancer->link = model_link(scenario_.link_kbit_per_s);
    }
    own_bytes_ = 0;
    clients_.start();
    schedule_events();
    send_reports();
    duration longest_deadline{0};
    for (const lab_requests& requests : scenario_.requests)
    {
        longest_deadline = std::max(longest_deadline, requests.deadline);
    }
    events_.run_until(events_.now() + scenario_.length + longest_deadline);
    result_.note_own_bytes(own_bytes_);
    result_.note_imbalance(busiest_over_mean());
}

void lab_world::configure()
{
    traffic_configuration configuration;
    configuration.version = 1;
    for (const lab_service& service : scenario_.services)
    {
        configuration.services.push_back({service.name, 0, 0.0});
    }
    for (std::size_t i = 0; i < scenario_.requests.size(); ++i)
    {
        const lab_requests& requests = scenario_.requests[i];
        traffic_route route;
        route.name = requests.name;
        route.address = model_clients::address_of(i);
        route.requests =
            requests.is_idempotent ? request_class::idempotent : request_class::non_idempotent;
        route.timeout_ms = static_cast<std::uint32_t>(requests.deadline.count() / 1000);
        route.target_latency_ms = static_cast<std::uint32_t>(requests.target.count() / 1000);
        route.priority = requests.priority;
        route.shares = {{requests.service, 1}};
        configuration.routes.push_back(route);
    }
    truth_.apply(++made_, replace_configuration{configuration});
}

/** Makes a node known by its address, and takes what it sends. */
void lab_world::connect(node& added)
{
    by_address_[added.data] = &added;
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

void lab_world::add_balancer(std::size_t index)
{
    balancers_.push_back(std::make_unique<balancer_node>(scenario_.link_kbit_per_s));
    balancer_node& added = *balancers_.back();
    added.data = {balancer_network + static_cast<std::uint32_t>(index) + 1, data_port};
    added.domain = index % scenario_.failure_domains;
    connect(added);
    start_balancer(added);
}

void lab_world::add_agent(const lab_service& service, std::size_t index)
{
    agents_.push_back(std::make_unique<agent_node>(0));
    agent_node& added = *agents_.back();
    added.number = index;
    added.data = {agent_network + static_cast<std::uint32_t>(index) + 1, data_port};
    added.domain = index % scenario_.failure_domains;
    added.name = "server-" + std::to_string(index);
    added.service = &service;
    connect(added);
    constexpr duration to_server = std::chrono::microseconds(50);
    added.server = std::make_unique<model_server>(
        events_, service, random_, scenario_.requests,
        [this, &added, to_server](const model_packets::layout& packet)
        {
            events_.after(to_server,
                          [this, &added, packet]
                          {
                              if (added.is_up)
                              {
                                  std::string bytes = model_packets::encode(packet);
                                  added.core->handle_server_packet(events_.now(), bytes.data(),
                                                                   bytes.size());
                              }
                          });
        });
    added.port.on_server_packet = [this, &added, to_server](const std::string& packet)
    {
        events_.after(to_server,
                      [&added, packet] { added.server->take(model_packets::read(packet)); });
    };
    start_server(added);
    start_agent(added);
}

void lab_world::stop_node(node& which)
{
    ++which.life;
    which.is_up = false;
    which.table = subscriber_table();
    which.traffic_table = std::make_shared<const packet_table>();
}

/** A process has started: it is up after a while, unless it is stopped before. */
void lab_world::come_up(node& which, const std::function<void(std::uint64_t life)>& begin)
{
    events_.after(start_time,
                  [this, &which, begin, life = which.life]
                  {
                      if (which.life == life)
                      {
                          which.is_up = true;
                          publish(which);
                          confirm(which, life);
                          begin(life);
                      }
                  });
}

void lab_world::start_balancer(balancer_node& which)
{
    stop_node(which);
    packet_balancer::options own;
    own.data = which.data;
    own.domain = domain_name(which.domain);
    own.placing = policy_.placing;
    which.core =
        std::make_unique<packet_balancer>(own, format_, which.port, which.counters, which.observer);
    come_up(which, [this, &which](std::uint64_t life) { tick_balancer(which, life); });
}

void lab_world::start_agent(agent_node& which)
{
    stop_node(which);
    packet_agent::options own;
    own.data = which.data;
    own.domain = domain_name(which.domain);
    own.service = which.service->name;
    own.announce_interval = announce_interval;
    own.requests_ahead = policy_.requests_ahead;
    which.core =
        std::make_unique<packet_agent>(own, format_, which.port, which.counters, which.observer);
    come_up(which,
            [this, &which](std::uint64_t life)
            {
                announce(which, life);
                tick_agent(which, life);
            });
}

void lab_world::start_server(agent_node& which)
{
    which.server->start();
    which.announcements = 0;
}

void lab_world::tick_balancer(balancer_node& which, std::uint64_t life)
{
    if (which.life != life)
    {
        return;
    }
    which.core->tick(events_.now(), *which.traffic_table);
    events_.after(packet_balancer::probe_interval,
                  [this, &which, life] { tick_balancer(which, life); });
}

void lab_world::tick_agent(agent_node& which, std::uint64_t life)
{
    if (which.life != life)
    {
        return;
    }
    which.core->tick(events_.now());
    events_.after(packet_agent::tick_interval, [this, &which, life] { tick_agent(which, life); });
}

void lab_world::announce(agent_node& which, std::uint64_t life)
{
    if (which.life != life)
    {
        return;
    }
    events_.after(announce_interval, [this, &which, life] { announce(which, life); });
    if (!which.server->is_up())
    {
        return;
    }
    server_announcement told;
    told.id = which.name + "-" + std::to_string(which.server->life());
    told.service = which.service->name;
    told.started_at = which.server->life();
    told.sequence = ++which.announcements;
    told.is_draining = which.server->is_draining();
    told.cold_for = which.server->cold_left();
    told.slots = which.service->slots;
    which.core->handle_announcement(events_.now(), told);
    announce_member edit;
    edit.name = which.name;
    edit.domain = domain_name(which.domain);
    edit.service = which.service->name;
    edit.data = which.data;
    edit.epoch = which.life;
    edit.protocol = flow_protocol::packets;
    edit.state = told.cold_for > duration(0) ? member_state::cold : member_state::warm;
    const change_result known = truth_.apply(++made_, edit);
    which.member = known.member;
    const member_state state = told.is_draining ? member_state::draining : edit.state;
    if (truth_.data().members.at(which.member).state != state)
    {
        truth_.apply(++made_, set_member_state{which.member, state});
    }
    if (truth_.data().held == made_ || known.made_at == made_)
    {
        publish_to_all();
    }
    watch_lease(which);
}

/** Without another announcement within a lease the member counts as silent. */
void lab_world::watch_lease(agent_node& which)
{
    events_.after(lease,
                  [this, &which, member = which.member, count = which.announcements]
                  {
                      if (which.announcements == count && which.member == member &&
                          truth_.data().members.count(member) != 0)
                      {
                          change(set_member_state{member, member_state::silent});
                      }
                  });
}

void lab_world::change(const carawayshelf::change& edit)
{
    truth_.apply(++made_, edit);
    publish_to_all();
}

void lab_world::publish_to_all()
{
    for (const auto& [address, other] : by_address_)
    {
        publish(*other);
    }
}

void lab_world::publish(node& which)
{
    std::uniform_int_distribution<std::int64_t> delay(shortest_news.count(), longest_news.count());
    events_.after(
        duration(delay(random_)),
        [this, &which, life = which.life]
        {
            if (which.life != life || !which.is_up || which.table.held() == truth_.data().held ||
                !which.table.apply(truth_.collect_update(which.table.held(), "")))
            {
                return;
            }
            which.traffic_table = std::make_shared<const packet_table>(
                packet_table::update(which.table, *which.traffic_table));
            if (agent_node* agent = dynamic_cast<agent_node*>(&which))
            {
                agent->core->set_table(events_.now(), which.traffic_table);
            }
            if (balancer_node* balancer = dynamic_cast<balancer_node*>(&which))
            {
                balancer->core->send_early_packets(events_.now(), *which.traffic_table, true);
            }
        });
}

void lab_world::confirm(node& which, std::uint64_t life)
{
    if (which.life != life)
    {
        return;
    }
    which.confirm(events_.now());
    events_.after(confirm_interval, [this, &which, life] { confirm(which, life); });
}

} // namespace carawayshelf::lab
