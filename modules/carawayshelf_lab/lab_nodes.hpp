#pragma once

#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_lab/callback_port.hpp"
#include "carawayshelf_lab/lab_simulation.hpp"
#include "carawayshelf_lab/model_link.hpp"
#include "carawayshelf_lab/model_server.hpp"
#include "carawayshelf_packets/packet_agent.hpp"
#include "carawayshelf_packets/packet_balancer.hpp"

namespace carawayshelf::lab
{

/** What simulated balancers and agents have in common. */
struct lab_simulation::node
{
    explicit node(std::uint64_t kbit_per_s) : link(kbit_per_s)
    {
    }

    virtual ~node() = default;

    /** Passes a new traffic table to the core. */
    virtual void handle_table(time_point now) = 0;

    /** Notes that control has confirmed the table as current. */
    virtual void confirm(time_point now) = 0;

    endpoint data;
    std::size_t domain = 0;
    bool is_up = false;
    std::uint64_t incarnation = 0; ///< Incremented at each start and stop; events of
                                   ///< earlier incarnations are ignored.
    model_link link;
    callback_port<model_packets> port;
    null_observer observer;
    packet_counters counters;
    subscriber_table table;
    std::shared_ptr<const packet_table> traffic_table = std::make_shared<const packet_table>();
};

struct lab_simulation::balancer_node : node
{
    using node::node;

    void handle_table(time_point now) override
    {
        core->send_early_packets(now, *traffic_table, true);
    }

    void confirm(time_point now) override
    {
        confirmed_at = now;
    }

    std::unique_ptr<packet_balancer> core;
    time_point confirmed_at; ///< When control last confirmed the table.
};

struct lab_simulation::agent_node : node
{
    using node::node;

    void handle_table(time_point now) override
    {
        core->set_table(now, traffic_table);
    }

    void confirm(time_point now) override
    {
        core->confirm_table(now, now);
    }

    std::string name;
    const lab_service* service = nullptr;
    std::unique_ptr<packet_agent> core;
    std::unique_ptr<model_server> server;
    member_id member = 0;
    std::uint64_t announcements = 0; ///< Sent by the present server.
    std::uint64_t number = 0;        ///< Index among all agents.
};

inline std::string domain_name(std::size_t domain)
{
    return "domain-" + std::to_string(domain);
}

} // namespace carawayshelf::lab
