#include "carawayshelf_lab/lab_nodes.hpp"
#include "carawayshelf_lab/lab_simulation.hpp"

#include <cmath>

namespace carawayshelf::lab
{

namespace
{

constexpr duration release_interval = std::chrono::milliseconds(300);
constexpr duration drain_time = std::chrono::seconds(4);
constexpr duration replacement_delay = std::chrono::milliseconds(500);
constexpr duration roll_interval = std::chrono::milliseconds(500);
constexpr duration crash_interval = std::chrono::seconds(1);
constexpr duration balancer_restart_delay =
    std::chrono::seconds(1); ///< Routers notice the stop within it.

} // namespace

void lab_simulation::schedule_events()
{
    for (const lab_event& event : scenario_.events)
    {
        events_.schedule_after(event.at, [this, &event] { begin_event(event); });
    }
}

void lab_simulation::begin_event(const lab_event& event)
{
    switch (event.kind)
    {
    case lab_event_kind::burst:
        clients_.set_rate_factor(event.factor);
        events_.schedule_after(event.length, [this] { clients_.set_rate_factor(1.0); });
        break;
    case lab_event_kind::shift:
        clients_.set_shifted_share(event.share);
        events_.schedule_after(event.length, [this] { clients_.set_shifted_share(0.0); });
        break;
    case lab_event_kind::slow_servers:
        slow_servers(event);
        break;
    case lab_event_kind::failing_servers:
        fail_servers(event);
        break;
    case lab_event_kind::domain_errors:
        fail_first_domain(event);
        break;
    case lab_event_kind::silent_servers:
        silence_servers(event);
        break;
    case lab_event_kind::power_lost:
        fail_nodes(event, false);
        break;
    case lab_event_kind::domain_lost:
        fail_nodes(event, true);
        break;
    case lab_event_kind::release:
        release_servers(event);
        break;
    case lab_event_kind::restart_servers:
        restart_servers(event);
        break;
    case lab_event_kind::roll_balancers:
        roll_balancers(event);
        break;
    case lab_event_kind::crashed_servers:
        crash_servers(event);
        break;
    }
}

/** Returns this share of each service's agents, rounded up, in the order of their creation. */
std::vector<lab_simulation::agent_node*> lab_simulation::first_agents(double share)
{
    std::vector<agent_node*> picked;
    for (const lab_service& service : scenario_.services)
    {
        std::size_t remaining =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(service.servers)));
        for (const std::unique_ptr<agent_node>& agent : agents_)
        {
            if (agent->service == &service && remaining != 0)
            {
                picked.push_back(agent.get());
                --remaining;
            }
        }
    }
    return picked;
}

void lab_simulation::slow_servers(const lab_event& event)
{
    for (agent_node* agent : first_agents(event.share))
    {
        agent->server->set_slowdown(event.factor);
        events_.schedule_after(event.length, [agent] { agent->server->set_slowdown(1.0); });
    }
}

void lab_simulation::fail_servers(const lab_event& event)
{
    for (agent_node* agent : first_agents(event.share))
    {
        agent->server->set_failing(true);
        events_.schedule_after(event.length, [agent] { agent->server->set_failing(false); });
    }
}

/** Makes servers fail requests of the first failure domain's callers. */
void lab_simulation::fail_first_domain(const lab_event& event)
{
    for (agent_node* agent : first_agents(event.share))
    {
        agent->server->set_failing_if(
            [this, factor = event.factor](const model_packets::layout& request) {
                return clients_.domain_of(request) == 0 &&
                       std::bernoulli_distribution(factor)(random_);
            });
        events_.schedule_after(event.length, [agent] { agent->server->set_failing(false); });
    }
}

void lab_simulation::silence_servers(const lab_event& event)
{
    for (agent_node* agent : first_agents(event.share))
    {
        agent->server->set_silent_share(event.factor);
        events_.schedule_after(event.length, [agent] { agent->server->set_silent_share(0.0); });
    }
}

/** Stops processes and servers, and starts them again after the event. */
void lab_simulation::fail_nodes(const lab_event& event, bool in_first_domain_only)
{
    const auto is_unaffected = [in_first_domain_only](const node& target)
    {
        return in_first_domain_only && target.domain != 0;
    };
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        if (!is_unaffected(*balancer))
        {
            stop_node(*balancer);
            events_.schedule_after(event.length,
                                   [this, target = balancer.get()] { start_balancer(*target); });
        }
    }
    for (const std::unique_ptr<agent_node>& agent : agents_)
    {
        if (!is_unaffected(*agent))
        {
            agent->server->stop();
            stop_node(*agent);
            restart_after(*agent, event.length);
        }
    }
}

/** Starts the agent and its server again after a delay. */
void lab_simulation::restart_after(agent_node& target, duration delay)
{
    events_.schedule_after(delay,
                           [this, &target]
                           {
                               start_server(target);
                               start_agent(target);
                           });
}

void lab_simulation::release_servers(const lab_event& event)
{
    duration delay{0};
    for (agent_node* agent : first_agents(event.share))
    {
        events_.schedule_after(delay, [this, agent] { release_server(*agent); });
        delay += release_interval;
    }
}

/** Drains the server, stops it, and starts a replacement. */
void lab_simulation::release_server(agent_node& target)
{
    target.server->set_draining(true);
    announce(target, target.incarnation);
    events_.schedule_after(drain_time,
                           [this, &target]
                           {
                               target.core->handle_departure(
                                   target.name + "-" +
                                   std::to_string(target.server->incarnation()));
                               target.server->stop();
                               apply_change(retire_member{target.member});
                               stop_node(target);
                           });
    restart_after(target, drain_time + replacement_delay);
}

void lab_simulation::restart_servers(const lab_event& event)
{
    std::size_t index = 0;
    const std::size_t servers_at_a_time =
        std::max<std::size_t>(1, static_cast<std::size_t>(event.factor));
    for (agent_node* agent : first_agents(event.share))
    {
        events_.schedule_after(event.length * static_cast<std::int64_t>(index / servers_at_a_time),
                               [this, agent, &event] { restart_server(*agent, event.length); });
        ++index;
    }
}

/** Drains the server, stops it, and starts a replacement; its agent keeps running. */
void lab_simulation::restart_server(agent_node& target, duration drain_for)
{
    target.server->set_draining(true);
    announce_server(target);
    events_.schedule_after(drain_for, [this, &target] { end_departed_server(target); });
    events_.schedule_after(drain_for + replacement_delay,
                           [this, &target]
                           {
                               start_server(target);
                               announce_server(target);
                           });
}

void lab_simulation::end_departed_server(agent_node& target)
{
    target.core->handle_departure(target.name + "-" + std::to_string(target.server->incarnation()));
    target.server->stop();
    target.core->handle_server_end(events_.now());
    apply_change(retire_member{target.member});
}

void lab_simulation::roll_balancers(const lab_event& event)
{
    const std::size_t count =
        static_cast<std::size_t>(std::ceil(event.share * static_cast<double>(balancers_.size())));
    for (std::size_t i = 0; i < count; ++i)
    {
        events_.schedule_after(roll_interval * static_cast<std::int64_t>(i),
                               [this, target = balancers_[i].get()]
                               {
                                   stop_node(*target);
                                   events_.schedule_after(balancer_restart_delay, [this, target]
                                                          { start_balancer(*target); });
                               });
    }
}

void lab_simulation::crash_servers(const lab_event& event)
{
    duration delay{0};
    for (agent_node* agent : first_agents(event.share))
    {
        events_.schedule_after(delay, [agent] { agent->server->stop(); });
        events_.schedule_after(delay + event.length, [this, agent] { start_server(*agent); });
        delay += crash_interval;
    }
}

double lab_simulation::busiest_over_mean() const
{
    double worst = 0.0;
    for (const lab_service& service : scenario_.services)
    {
        double sum = 0.0;
        double max_requests = 0.0;
        for (const std::unique_ptr<agent_node>& agent : agents_)
        {
            if (agent->service == &service)
            {
                const double requests_run = static_cast<double>(agent->server->requests_run());
                sum += requests_run;
                max_requests = std::max(max_requests, requests_run);
            }
        }
        const double mean = sum / static_cast<double>(std::max<std::size_t>(1, service.servers));
        worst = std::max(worst, mean > 0.0 ? max_requests / mean : 0.0);
    }
    return worst;
}

} // namespace carawayshelf::lab
