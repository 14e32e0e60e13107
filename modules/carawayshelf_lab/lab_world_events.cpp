#include "carawayshelf_lab/lab_nodes.hpp"
#include "carawayshelf_lab/lab_world.hpp"

#include <cmath>

namespace carawayshelf::lab
{

namespace
{

constexpr duration release_gap = std::chrono::milliseconds(300);
constexpr duration drains_for = std::chrono::seconds(4);
constexpr duration replaced_after = std::chrono::milliseconds(500);
constexpr duration roll_gap = std::chrono::milliseconds(500);
constexpr duration routers_notice_after = std::chrono::seconds(1);

} // namespace

void lab_world::schedule_events()
{
    for (const lab_event& event : scenario_.events)
    {
        events_.after(event.at, [this, &event] { begin_event(event); });
    }
}

void lab_world::begin_event(const lab_event& event)
{
    switch (event.kind)
    {
    case lab_event_kind::burst:
        clients_.set_rate(event.factor);
        events_.after(event.lasts, [this] { clients_.set_rate(1.0); });
        break;
    case lab_event_kind::shift:
        clients_.set_shift(event.share);
        events_.after(event.lasts, [this] { clients_.set_shift(0.0); });
        break;
    case lab_event_kind::slow_servers:
        slow_servers(event);
        break;
    case lab_event_kind::failing_servers:
        fail_servers(event);
        break;
    case lab_event_kind::power_lost:
        lose_nodes(event, false);
        break;
    case lab_event_kind::domain_lost:
        lose_nodes(event, true);
        break;
    case lab_event_kind::release:
        release_servers(event);
        break;
    case lab_event_kind::roll_balancers:
        roll_balancers(event);
        break;
    }
}

/** A share of each service's agents, in the order in which they were made. */
std::vector<lab_world::agent_node*> lab_world::first_agents(double share)
{
    std::vector<agent_node*> picked;
    for (const lab_service& service : scenario_.services)
    {
        std::size_t left =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(service.servers)));
        for (const std::unique_ptr<agent_node>& agent : agents_)
        {
            if (agent->service == &service && left != 0)
            {
                picked.push_back(agent.get());
                --left;
            }
        }
    }
    return picked;
}

void lab_world::slow_servers(const lab_event& event)
{
    for (agent_node* agent : first_agents(event.share))
    {
        agent->server->set_slowness(event.factor);
        events_.after(event.lasts, [agent] { agent->server->set_slowness(1.0); });
    }
}

void lab_world::fail_servers(const lab_event& event)
{
    for (agent_node* agent : first_agents(event.share))
    {
        agent->server->set_failing(true);
        events_.after(event.lasts, [agent] { agent->server->set_failing(false); });
    }
}

/** Processes and servers end, and start again together. */
void lab_world::lose_nodes(const lab_event& event, bool in_first_domain_only)
{
    const auto is_spared = [in_first_domain_only](const node& which)
    {
        return in_first_domain_only && which.domain != 0;
    };
    for (const std::unique_ptr<balancer_node>& balancer : balancers_)
    {
        if (!is_spared(*balancer))
        {
            stop_node(*balancer);
            events_.after(event.lasts, [this, which = balancer.get()] { start_balancer(*which); });
        }
    }
    for (const std::unique_ptr<agent_node>& agent : agents_)
    {
        if (!is_spared(*agent))
        {
            agent->server->stop();
            stop_node(*agent);
            start_again_after(*agent, event.lasts);
        }
    }
}

/** Starts an agent with another server beside it. */
void lab_world::start_again_after(agent_node& which, duration later)
{
    events_.after(later,
                  [this, &which]
                  {
                      start_server(which);
                      start_agent(which);
                  });
}

void lab_world::release_servers(const lab_event& event)
{
    duration later{0};
    for (agent_node* agent : first_agents(event.share))
    {
        events_.after(later, [this, agent] { release_one(*agent); });
        later += release_gap;
    }
}

/** Drains the server, ends it, and starts another one in its place. */
void lab_world::release_one(agent_node& which)
{
    which.server->set_draining(true);
    announce(which, which.life);
    events_.after(drains_for,
                  [this, &which]
                  {
                      which.core->handle_departure(which.name + "-" +
                                                   std::to_string(which.server->life()));
                      which.server->stop();
                      change(retire_member{which.member});
                      stop_node(which);
                  });
    start_again_after(which, drains_for + replaced_after);
}

void lab_world::roll_balancers(const lab_event& event)
{
    const std::size_t count =
        static_cast<std::size_t>(std::ceil(event.share * static_cast<double>(balancers_.size())));
    for (std::size_t i = 0; i < count; ++i)
    {
        events_.after(roll_gap * static_cast<std::int64_t>(i),
                      [this, which = balancers_[i].get()]
                      {
                          stop_node(*which);
                          events_.after(routers_notice_after,
                                        [this, which] { start_balancer(*which); });
                      });
    }
}

double lab_world::busiest_over_mean() const
{
    double worst = 0.0;
    for (const lab_service& service : scenario_.services)
    {
        double sum = 0.0;
        double most = 0.0;
        for (const std::unique_ptr<agent_node>& agent : agents_)
        {
            if (agent->service == &service)
            {
                const double runs = static_cast<double>(agent->server->runs());
                sum += runs;
                most = std::max(most, runs);
            }
        }
        const double mean = sum / static_cast<double>(std::max<std::size_t>(1, service.servers));
        worst = std::max(worst, mean > 0.0 ? most / mean : 0.0);
    }
    return worst;
}

} // namespace carawayshelf::lab
