#pragma once

#include "backend_servers.hpp"
#include "daemon_processes.hpp"
#include "flow_clients.hpp"
#include "flow_judge.hpp"
#include "packet_routers.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace carawayshelf::process_tests
{

/** A small deployment on loopback addresses, its traffic, and the changes and failures that are
    scheduled. The traffic runs on a thread of its own; all methods are called by one thread. */
class deployment
{
public:
    struct service_plan
    {
        std::string name;
        std::uint32_t servers = 0;
    };

    struct options
    {
        std::string program;        ///< Path of the carawayshelf program.
        std::string folder;         ///< Existing folder for settings, data and logs.
        std::uint32_t network = 80; ///< Second number of the loopback addresses.
        std::uint32_t balancers = 4;
        std::vector<service_plan> services = {{"despacho", 9}};
        std::size_t max_flows_per_server = 2000;
        duration exit_delay{0}; ///< Between the deregistration of a server and its end.
        bool has_client_domains =
            false; ///< The clients of a failure domain reach its balancers only.
        duration traffic_time = std::chrono::seconds(24);
        flow_clients::options clients; ///< Of all failure domains together; the deployment sets
                                       ///< their addresses, domains and services.
        std::vector<std::string> environment; ///< Of the daemons.
        std::uint64_t seed = 0;
    };

    explicit deployment(const options& deployment_options);
    ~deployment();

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /** Starts all daemons and the traffic. Returns false if they are not ready in time. */
    bool start();

    /** Runs what is scheduled, until the end of the traffic. */
    void run();

    /** Prints the result. Returns whether all guarantees were kept. */
    bool report();

    /** Time of the traffic's start. Precondition: start() has returned true. */
    time_point started_at() const
    {
        return started_at_;
    }

    const std::vector<machine>& controls() const
    {
        return controls_;
    }

    const std::vector<machine>& balancers() const
    {
        return balancers_;
    }

    /** Machines with a backend server and its agent. */
    const std::vector<machine>& agents() const
    {
        return agents_;
    }

    const machine& any_of(const std::vector<machine>& machines);

    /** A share of all machines, in a random order. */
    std::vector<machine> some_machines(double share);

    /** The control instance that became the leader last. */
    const machine& leader() const;

    /** Calls a function at a time. */
    void schedule(time_point at, std::function<void()> step);

    /** Signals the daemon of a machine at a time, and starts another one after it has ended and a
        delay has passed. */
    void restart(time_point at, const machine& which, int signal_number, duration delay);

    /** Stops and starts machines one after the other. */
    void restart_in_turn(time_point at, const std::vector<machine>& which, duration gap);

    /** Stops a daemon's process at a time and continues it later. */
    void freeze(time_point at, const std::string& name, duration frozen_for);

    /** Lets a daemon run for a quarter of the time only. */
    void slow_down(time_point at, const std::string& name, duration slow_for);

    // The following take effect at once.
    void hang_up(const std::string& name);
    void add_spare_balancers();
    /** Replaces a backend server: a new one starts, and the old one drains and leaves. */
    void replace_server();
    /** A backend server drains and leaves. */
    void remove_server();
    /** A backend server ends without an announcement. */
    void end_server();
    /** A backend server ends without an announcement, and starts again in place after a delay: with
        the id that it had, or with a new one. */
    void restart_server(duration delay, bool keeps_id);
    /** Sends a configuration without the route of the last service. */
    void drop_route();
    /** Sends a configuration with all routes again. */
    void restore_route();
    /** A backend server ends without an announcement, and its address goes to another service. */
    void reuse_address();
    /** Sends the next version of the configuration. Returns whether it was acknowledged. */
    bool replace_configuration();
    /** Adds routes that get no traffic, in a new version of the configuration. */
    void add_routes(std::uint32_t count);
    void evacuate(const std::string& domain);
    void take_back(const std::string& domain);

private:
    endpoint service_address(std::size_t service) const;
    std::vector<machine> make_agents() const;
    void start_clients();
    std::string routes_text() const;
    std::string services_text() const;
    void drain(const machine& removed);
    void end_departed(const machine& removed, backend_server& server);
    std::uint64_t sum_of(std::uint64_t flow_clients::counters::*counter) const;
    bool wait_until(time_point deadline, const std::function<bool()>& condition);
    void add_server(const machine& at);
    backend_server* find_server(const std::string& name);
    void leave_when_drained(const machine& removed);
    bool call_control(const std::string& path, const std::string& body);
    void signal(const std::string& name, int signal_number, const std::string& what);
    void when_ended(const std::string& name, duration delay, const std::function<void()>& next);
    void start_again(const machine& at);
    machine with_current_service(const machine& at) const;
    void run_traffic();
    void log_event(const std::string& what) const;

    options options_;
    std::vector<machine> controls_;
    std::vector<machine> balancers_;
    std::vector<machine> agents_;
    std::vector<machine> spare_balancers_;
    std::vector<machine> spare_agents_;
    daemon_processes daemons_;
    flow_judge judge_;
    std::mutex traffic_lock_; ///< Guards servers_, judge_ and clients_.
    std::vector<std::unique_ptr<backend_server>> servers_;
    std::unique_ptr<packet_routers> routers_;
    std::vector<std::unique_ptr<flow_clients>> clients_; ///< One for each failure domain.
    std::thread traffic_;
    std::atomic<bool> is_stopping_{false};
    std::mt19937_64 random_;
    std::multimap<time_point, std::function<void()>> steps_;
    time_point started_at_;
    std::uint64_t configuration_version_ = 0;
    std::uint32_t idle_routes_ = 0;
    bool is_route_dropped_ = false;
    int last_server_ = 0;
};

} // namespace carawayshelf::process_tests
