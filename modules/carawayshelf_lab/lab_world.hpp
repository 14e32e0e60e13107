#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_lab/event_queue.hpp"
#include "carawayshelf_lab/lab_report.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"
#include "carawayshelf_lab/model_clients.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayshelf::lab
{

/** One run: a scenario under one policy and seed. The balancers and agents decide as in the
   product; what is around them is modelled. Not thread-safe. */
class lab_world
{
public:
    /** @param result  takes the outcomes; must outlive the world */
    lab_world(const lab_scenario& scenario, const lab_policy& policy, std::uint64_t seed,
              policy_result& result);
    ~lab_world();

    /** Plays the whole scenario. */
    void run();

private:
    struct node;
    struct balancer_node;
    struct agent_node;

    // Nodes, in lab_world.cpp.
    void connect(node& added);
    void add_balancer(std::size_t index);
    void add_agent(const lab_service& service, std::size_t index);
    void come_up(node& which, const std::function<void(std::uint64_t life)>& begin);
    void start_balancer(balancer_node& which);
    void start_agent(agent_node& which);
    void stop_node(node& which);
    void start_server(agent_node& which);
    void tick_balancer(balancer_node& which, std::uint64_t life);
    void tick_agent(agent_node& which, std::uint64_t life);
    void announce(agent_node& which, std::uint64_t life);
    void watch_lease(agent_node& which);
    void configure();
    void change(const carawayshelf::change& edit);
    void publish(node& which);
    void publish_to_all();
    void confirm(node& which, std::uint64_t life);

    // Load that isn't told with answers, in lab_world_loads.cpp.
    void send_reports();
    bool is_watched(const balancer_node& by, const agent_node& which) const;

    // Packets, in lab_world_packets.cpp.
    void send_envelope(node& from, const endpoint& to, const packet_envelope& envelope,
                       const std::string& packet);
    void deliver_envelope(const endpoint& from, const endpoint& to, const packet_envelope& envelope,
                          std::string packet);
    void route_client_packet(std::size_t domain, const model_packets::layout& packet);
    void send_to_client(const std::string& packet);
    duration way_between(const node& from, const node& to) const;
    bool is_lost();

    // What happens, in lab_world_events.cpp.
    void schedule_events();
    void begin_event(const lab_event& event);
    void slow_servers(const lab_event& event);
    void fail_servers(const lab_event& event);
    void lose_nodes(const lab_event& event, bool in_first_domain_only);
    void start_again_after(agent_node& which, duration later);
    void release_servers(const lab_event& event);
    void release_one(agent_node& which);
    void roll_balancers(const lab_event& event);
    std::vector<agent_node*> first_agents(double share);
    double busiest_over_mean() const;

    const lab_scenario& scenario_;
    const lab_policy& policy_;
    policy_result& result_;
    std::mt19937_64 random_;
    event_queue events_;
    model_packets format_;
    cluster_state truth_;
    generation made_ = 0;
    std::vector<std::unique_ptr<balancer_node>> balancers_;
    std::vector<std::unique_ptr<agent_node>> agents_;
    std::unordered_map<endpoint, node*> by_address_;
    model_clients clients_;
    std::uint64_t own_bytes_ = 0;
};

} // namespace carawayshelf::lab
