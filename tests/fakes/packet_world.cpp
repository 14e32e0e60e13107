#include "packet_world.hpp"

#include "packet_world_nodes.hpp"

#include <algorithm>
#include <tuple>

namespace carawayshelf::fakes
{

namespace
{

constexpr std::uint32_t agent_network = 0x0A000000;
constexpr std::uint32_t balancer_network = 0x0A010000;
constexpr std::uint16_t data_port = 7000;
constexpr duration longest_news = std::chrono::milliseconds(280); ///< From control to a node.
constexpr duration confirm_interval = std::chrono::milliseconds(250);
constexpr duration announce_interval = std::chrono::milliseconds(700);
constexpr duration lease = std::chrono::seconds(3);
constexpr duration tick_interval = packet_agent::tick_interval;
const std::array<const char*, 2> domains = {"cuyo-a", "cuyo-b"};
const endpoint service_address{0xC6120001, 443};

bool ends_before(const packet_flow& a, const packet_flow& b)
{
    return std::tie(a.client, a.service) < std::tie(b.client, b.service);
}

} // namespace

packet_world::packet_world(std::uint64_t seed, broken_packet_rules broken)
    : broken_(broken), random_(seed), now_(std::chrono::seconds(1000)), by_ends_(&ends_before)
{
    put_configuration();
    for (const char* service : {"ordering", "ordering", "ordering", "catalogue", "stranger"})
    {
        add_agent(service);
    }
    add_balancer();
    add_balancer();
    confirm_all();
    advance(std::chrono::seconds(2));
}

packet_world::~packet_world() = default;

std::uint32_t packet_world::random(std::uint32_t below)
{
    return static_cast<std::uint32_t>(random_() % below);
}

duration packet_world::delay()
{
    return std::chrono::microseconds(300 + random(3000));
}

void packet_world::fail(const std::string& what)
{
    if (violation_.empty())
    {
        violation_ = what;
    }
}

void packet_world::at(duration later, std::function<void()> what)
{
    events_.emplace(now_ + later, std::move(what));
}

void packet_world::advance(duration span)
{
    const time_point until = now_ + span;
    while (!events_.empty() && events_.begin()->first <= until && violation_.empty())
    {
        now_ = events_.begin()->first;
        const std::function<void()> what = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        what();
    }
    now_ = until;
}

void packet_world::run(const std::vector<packet_step>& steps)
{
    for (const packet_step& step : steps)
    {
        take_step(step);
        if (!violation_.empty())
        {
            return;
        }
    }
    advance(std::chrono::seconds(7)); // All cuts are over, and all news have arrived.
    check_open_flows();
}

void packet_world::take_step(const packet_step& step)
{
    const std::size_t agent = step.pick % agents_.size();
    agent_node& picked = *agents_[agent];
    const std::string domain = domains.at(step.pick % domains.size());
    switch (step.kind)
    {
    case packet_step_kind::open_flow:
        open_flow(step.pick);
        break;
    case packet_step_kind::send_request:
        if (!flows_.empty())
        {
            send_request(step.pick % flows_.size(), 0);
        }
        break;
    case packet_step_kind::advance:
        advance(std::chrono::milliseconds(1 + step.pick % 300));
        break;
    case packet_step_kind::join:
        if (agents_.size() < 12)
        {
            add_agent(step.pick % 3 == 0 ? "catalogue" : "ordering");
        }
        break;
    case packet_step_kind::drain:
        picked.server_drains = true;
        break;
    case packet_step_kind::drain_and_restart_agent:
    {
        const duration cut_for = std::chrono::milliseconds(50 + step.pick % 400);
        picked.server_drains = true;
        picked.cut_until = now_ + cut_for;
        at(cut_for / 2, [this, agent] { announce_server(agent); });
        at(cut_for, [this, agent] { start_agent(agent); });
        break;
    }
    case packet_step_kind::leave:
        if (picked.server_lives && picked.drain_is_acknowledged)
        {
            picked.server_lives = false;
            picked.core->take_departure(picked.name);
            change(retire_member{picked.member});
        }
        break;
    case packet_step_kind::restart_agent:
        start_agent(agent);
        break;
    case packet_step_kind::restart_balancer:
        start_balancer(step.pick % balancers_.size());
        break;
    case packet_step_kind::add_balancer:
        if (balancers_.size() < 4)
        {
            add_balancer();
        }
        break;
    case packet_step_kind::cut_agent:
        picked.cut_until = now_ + std::chrono::milliseconds(step.pick * 3);
        break;
    case packet_step_kind::cut_balancer:
        balancers_[step.pick % balancers_.size()]->cut_until =
            now_ + std::chrono::milliseconds(step.pick * 3);
        break;
    case packet_step_kind::reuse_address:
        ++picked.server_life;
        picked.service = "stranger";
        picked.server_lives = true;
        picked.server_drains = false;
        picked.drain_is_acknowledged = false;
        picked.held.clear();
        start_agent(agent);
        break;
    case packet_step_kind::change_split:
        first_share_ = step.pick % 101;
        put_configuration();
        break;
    case packet_step_kind::domain_out:
    case packet_step_kind::domain_in:
    {
        set_domain_state mark;
        mark.domain = domain;
        mark.out = step.kind == packet_step_kind::domain_out;
        mark.is_unconditional = true;
        change(mark);
        break;
    }
    case packet_step_kind::drop_route:
    case packet_step_kind::bring_route:
        has_route_ = step.kind == packet_step_kind::bring_route;
        route_changed_ = has_route_ ? route_changed_ : now_;
        put_configuration();
        break;
    case packet_step_kind::count:
        break;
    }
}

void packet_world::change(const carawayshelf::change& edit)
{
    truth_.apply(++last_generation_, edit);
    made_at_[last_generation_] = now_;
    publish_soon();
}

traffic_configuration packet_world::make_configuration() const
{
    traffic_configuration configuration;
    configuration.version = version_;
    for (const char* name : {"ordering", "catalogue", "stranger"})
    {
        configuration.services.push_back({name, 0, 0.0});
    }
    if (has_route_)
    {
        traffic_route route;
        route.name = "orders";
        route.address = service_address;
        route.timeout_ms = 2000;
        route.target_latency_ms = 100;
        route.shares = {{"ordering", 1 + first_share_}, {"catalogue", 101 - first_share_}};
        configuration.routes.push_back(route);
    }
    return configuration;
}

void packet_world::put_configuration()
{
    ++version_;
    change(replace_configuration{make_configuration()});
}

void packet_world::publish_soon()
{
    for (const std::unique_ptr<balancer_node>& node : balancers_)
    {
        at(delay() + std::chrono::microseconds(random(longest_news.count())),
           [this, target = node.get()] { publish_to(*target); });
    }
    for (const std::unique_ptr<agent_node>& node : agents_)
    {
        at(delay() + std::chrono::microseconds(random(longest_news.count())),
           [this, target = node.get()] { publish_to(*target); });
    }
}

void packet_world::publish_to(balancer_node& node)
{
    table_update update = truth_.collect_update(node.table.held(), "");
    if (broken_.departures_hidden)
    {
        update.removed_members.clear();
    }
    if (now_ < node.cut_until || !node.table.apply(update))
    {
        return;
    }
    node.traffic_table =
        std::make_shared<const packet_table>(packet_table::update(node.table, *node.traffic_table));
    node.confirmed = now_;
    node.is_ready = true;
    node.core->release_early(now_, *node.traffic_table, true);
    node.core->tick(now_, *node.traffic_table);
    if (broken_.tables_set_off_probes)
    {
        probe_all(node);
    }
}

/** As many probes as 200 agents would get with 46 tables a second, until the next confirmation. */
void packet_world::probe_all(balancer_node& node)
{
    constexpr std::size_t agents = 200;
    constexpr int tables = 46 / 4;
    packet_envelope probe;
    probe.kind = packet_envelope_kind::probe;
    probe.balancer = node.data;
    for (int table = 0; table < tables; ++table)
    {
        at(confirm_interval / tables * table,
           [this, &node, probe]
           {
               for (std::size_t i = 0; i < agents; ++i)
               {
                   deliver_envelope(node.data, agents_[i % agents_.size()]->data, probe, {});
               }
           });
    }
}

void packet_world::publish_to(agent_node& node)
{
    table_update update = truth_.collect_update(node.table.held(), "");
    if (broken_.others_unknown)
    {
        const auto is_other = [&node](const member& who)
        {
            return who.data != node.data;
        };
        update.members.erase(std::remove_if(update.members.begin(), update.members.end(), is_other),
                             update.members.end());
    }
    if (now_ < node.cut_until || !node.table.apply(update))
    {
        return;
    }
    node.traffic_table =
        std::make_shared<const packet_table>(packet_table::update(node.table, *node.traffic_table));
    node.core->set_table(now_, node.traffic_table);
}

void packet_world::confirm_all()
{
    for (const std::unique_ptr<balancer_node>& node : balancers_)
    {
        if (now_ >= node->cut_until)
        {
            publish_to(*node);
            node->confirmed = now_;
        }
    }
    for (const std::unique_ptr<agent_node>& node : agents_)
    {
        if (now_ >= node->cut_until)
        {
            publish_to(*node);
            node->core->confirm_table(now_);
        }
    }
    at(confirm_interval, [this] { confirm_all(); });
}

std::size_t packet_world::add_agent(const std::string& service)
{
    const std::size_t index = agents_.size();
    agents_.push_back(std::make_unique<agent_node>());
    agent_node& node = *agents_.back();
    node.data = {agent_network + static_cast<std::uint32_t>(index) + 1, data_port};
    node.name = "server-" + std::to_string(index);
    node.domain = domains.at(index % domains.size());
    node.service = service;
    node.port.on_envelope = [this, &node](const endpoint& to, const packet_envelope& envelope,
                                          const std::string& packet)
    {
        deliver_envelope(node.data, to, envelope, packet);
    };
    node.port.on_client_packet = [this](const std::string& packet)
    {
        at(delay(), [this, packet] { receive(packet); });
    };
    node.port.on_server_packet = [this, index](const std::string& packet)
    {
        at(std::chrono::microseconds(50), [this, index, packet] { serve(index, packet); });
    };
    start_agent(index);
    return index;
}

void packet_world::start_agent(std::size_t index)
{
    agent_node& node = *agents_[index];
    node.forget_tables();
    packet_agent::options own;
    own.data = node.data;
    own.domain = node.domain;
    own.service = broken_.wrong_service_served ? "ordering" : node.service;
    own.announce_interval = announce_interval;
    node.core =
        std::make_unique<packet_agent>(own, format_, node.port, node.counters, node.observer);
    node.epoch = random_();
    const std::uint64_t life = node.life;
    at(std::chrono::milliseconds(20 + random(200)),
       [this, index, life]
       {
           if (agents_[index]->life == life)
           {
               publish_to(*agents_[index]);
           }
       });
    at(std::chrono::milliseconds(20 + random(announce_interval / std::chrono::milliseconds(1))),
       [this, index, life]
       {
           if (agents_[index]->life == life)
           {
               announce_server(index);
           }
       });
}

void packet_world::announce_server(std::size_t index)
{
    agent_node& node = *agents_[index];
    if (!node.server_lives)
    {
        return;
    }
    server_announcement announcement;
    announcement.id = node.name;
    announcement.service = broken_.wrong_service_served ? "ordering" : node.service;
    announcement.started_at = node.server_life;
    announcement.sequence = ++node.announcements;
    announcement.is_draining = node.server_drains && !broken_.drain_not_announced;
    announcement.slots = 2;
    node.core->take_announcement(now_, announcement);
    announce_member_of(index);
    const auto member = truth_.data().members.find(node.member);
    const bool is_recorded =
        member != truth_.data().members.end() && member->second.state == member_state::draining;
    if (node.server_drains && !node.drain_is_acknowledged &&
        (is_recorded || broken_.drain_not_recorded))
    {
        node.drain_is_acknowledged = true;
        node.drain_acknowledged = now_;
    }
    const std::uint64_t life = node.life;
    at(announce_interval,
       [this, index, life]
       {
           if (agents_[index]->life == life)
           {
               announce_server(index);
           }
       });
    for (int i = 0; i < announce_interval / tick_interval; ++i)
    {
        at(tick_interval * i,
           [this, index, life]
           {
               if (agents_[index]->life == life)
               {
                   agents_[index]->core->tick(now_);
               }
           });
    }
}

void packet_world::announce_member_of(std::size_t index)
{
    agent_node& node = *agents_[index];
    if (now_ < node.cut_until)
    {
        return;
    }
    announce_member edit;
    edit.name = node.name;
    edit.domain = node.domain;
    edit.service = node.service;
    edit.data = node.data;
    edit.epoch = node.epoch;
    edit.protocol = flow_protocol::packets;
    edit.state = member_state::warm;
    const change_result known = truth_.apply(++last_generation_, edit);
    node.member = known.member;
    if (known.made_at == last_generation_)
    {
        publish_soon();
    }
    const member& who = truth_.data().members.at(node.member);
    const member_state state = node.server_drains ? member_state::draining : member_state::warm;
    if (who.state != state)
    {
        change(set_member_state{node.member, state});
    }
    // Without another announcement within a lease the member counts as silent.
    const std::uint64_t count = node.announcements;
    at(lease,
       [this, index, count]
       {
           const agent_node& later = *agents_[index];
           if (later.announcements == count && truth_.data().members.count(later.member) != 0)
           {
               change(set_member_state{later.member, member_state::silent});
           }
       });
}

void packet_world::add_balancer()
{
    const std::size_t index = balancers_.size();
    balancers_.push_back(std::make_unique<balancer_node>());
    balancer_node& node = *balancers_.back();
    node.data = {balancer_network + static_cast<std::uint32_t>(index) + 1, data_port};
    node.port.on_envelope = [this, &node](const endpoint& to, const packet_envelope& envelope,
                                          const std::string& packet)
    {
        deliver_envelope(node.data, to, envelope, packet);
    };
    node.port.on_client_packet = [this](const std::string& packet)
    {
        at(delay(), [this, packet] { receive(packet); });
    };
    start_balancer(index);
}

void packet_world::start_balancer(std::size_t index)
{
    balancer_node& node = *balancers_[index];
    node.forget_tables();
    node.is_ready = false;
    packet_balancer::options own;
    own.data = node.data;
    own.domain = domains.at(index % domains.size());
    own.flow_cache_entries = 64;
    node.core =
        std::make_unique<packet_balancer>(own, format_, node.port, node.counters, node.observer);
    at(std::chrono::milliseconds(20 + random(100)),
       [this, index] { publish_to(*balancers_[index]); });
}

} // namespace carawayshelf::fakes
