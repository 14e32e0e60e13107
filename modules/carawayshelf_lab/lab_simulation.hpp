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

/** One run of a scenario with one policy and one seed. The decisions of balancers and agents are
    made by the product's code; everything around them is modelled. Not thread-safe. */
class lab_simulation
{
public:
    /** The scenario, the policy and the result must outlive the simulation.
        @param result  receives the outcomes */
    lab_simulation(const lab_scenario& scenario, const lab_policy& policy, std::uint64_t seed,
                   policy_result& result);
    ~lab_simulation();

    /** Simulates the whole scenario. To be called once. */
    void run();

private:
    struct node;
    struct balancer_node;
    struct agent_node;

    // Nodes, in lab_simulation.cpp.
    void register_node(node& added);
    void add_balancer(std::size_t index);
    void add_agent(const lab_service& service, std::size_t index);
    void schedule_node_up(node& target,
                          const std::function<void(std::uint64_t incarnation)>& on_up);
    void start_balancer(balancer_node& target);
    void start_agent(agent_node& target);
    void stop_node(node& target);
    void start_server(agent_node& target);
    void tick_balancer(balancer_node& target, std::uint64_t incarnation);
    void tick_agent(agent_node& target, std::uint64_t incarnation);
    void announce(agent_node& target, std::uint64_t incarnation);
    void announce_server(agent_node& target);
    void schedule_lease_check(agent_node& target);
    void configure();
    void apply_change(const carawayshelf::change& edit);
    void publish(node& target);
    void publish_to_all();
    void confirm(node& target, std::uint64_t incarnation);

    // Periodic load reports, in lab_simulation_loads.cpp.
    void send_reports();
    bool receives_reports(const balancer_node& receiver, const agent_node& reporter) const;

    // Packets, in lab_simulation_packets.cpp.
    void send_envelope(node& from, const endpoint& to, const packet_envelope& envelope,
                       const std::string& packet);
    void deliver_envelope(const endpoint& from, const endpoint& to, const packet_envelope& envelope,
                          std::string packet);
    void route_client_packet(std::size_t domain, const model_packets::layout& packet);
    void send_to_client(const std::string& packet);
    duration latency_between(const node& from, const node& to) const;
    bool draw_loss();

    // Events of the scenario, in lab_simulation_events.cpp.
    void schedule_events();
    void begin_event(const lab_event& event);
    void slow_servers(const lab_event& event);
    void fail_servers(const lab_event& event);
    void fail_first_domain(const lab_event& event);
    void silence_servers(const lab_event& event);
    void fail_nodes(const lab_event& event, bool in_first_domain_only);
    void restart_after(agent_node& target, duration delay);
    void release_servers(const lab_event& event);
    void release_server(agent_node& target);
    void restart_servers(const lab_event& event);
    void restart_server(agent_node& target, duration drain_for);
    void end_departed_server(agent_node& target);
    void roll_balancers(const lab_event& event);
    void crash_servers(const lab_event& event);
    std::vector<agent_node*> first_agents(double share);
    double busiest_over_mean() const;

    const lab_scenario& scenario_;
    const lab_policy& policy_;
    policy_result& result_;
    std::mt19937_64 random_;
    event_queue events_;
    model_packets format_;
    cluster_state control_state_; ///< What the control instances have committed.
    generation last_generation_ = 0;
    std::vector<std::unique_ptr<balancer_node>> balancers_;
    std::vector<std::unique_ptr<agent_node>> agents_;
    std::unordered_map<endpoint, node*> nodes_by_address_;
    model_clients clients_;
    std::uint64_t signalling_bytes_ = 0;
};

} // namespace carawayshelf::lab
