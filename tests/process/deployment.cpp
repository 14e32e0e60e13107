#include "deployment.hpp"

#include "platform_http.hpp"
#include "standin_socket.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <iterator>
#include <utility>

namespace carawayshelf::process_tests
{

namespace
{

constexpr std::uint32_t control_instances = 3;
constexpr std::uint32_t spare_machines = 2;
constexpr duration start_timeout = std::chrono::seconds(15);
constexpr duration poll_interval = std::chrono::milliseconds(5);
constexpr duration call_timeout = std::chrono::milliseconds(500);

/** A new member admits flows after its settle time. */
constexpr duration settle_time = std::chrono::seconds(2);

/** Time between the start of a new backend server and the draining of the old one, and between the
    acknowledged draining and the end. */
constexpr duration drain_after = std::chrono::seconds(1);
constexpr duration drain_time = std::chrono::milliseconds(3500);

/** The machine of a backend server is taken away this long after the server has ended. */
constexpr duration machine_removal_delay = std::chrono::seconds(2);

/** The address of a backend server is used again after this. */
constexpr duration address_reuse_time = std::chrono::seconds(2);

constexpr std::uint32_t domain_count = 3;
constexpr std::size_t max_printed_faults = 20;
constexpr std::uint16_t service_port = 443;

std::uint32_t loopback_address(std::uint32_t network, std::uint32_t group, std::uint32_t number)
{
    return (127U << 24U) | (network << 16U) | (group << 8U) | number;
}

std::string domain_name(std::uint32_t number)
{
    return std::string("cuyo-") + static_cast<char>('a' + number % domain_count);
}

std::vector<machine> make_machines(const std::string& prefix, std::uint32_t network,
                                   std::uint32_t group, std::uint32_t count)
{
    std::vector<machine> machines;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        machines.push_back({prefix + std::to_string(i), domain_name(i - 1),
                            loopback_address(network, group, i), ""});
    }
    return machines;
}

/** Removes the machines from an index on, and returns them. */
std::vector<machine> split_off(std::vector<machine>& machines, std::size_t index)
{
    const auto first = machines.begin() + static_cast<std::ptrdiff_t>(index);
    std::vector<machine> rest(first, machines.end());
    machines.erase(first, machines.end());
    return rest;
}

} // namespace

deployment::deployment(const options& deployment_options)
    : options_(deployment_options),
      controls_(make_machines("control-", options_.network, 1, control_instances)),
      balancers_(
          make_machines("balancer-", options_.network, 2, options_.balancers + spare_machines)),
      agents_(make_agents()), spare_balancers_(split_off(balancers_, options_.balancers)),
      spare_agents_(split_off(agents_, agents_.size() - spare_machines)),
      daemons_(options_.program, options_.folder, controls_), random_(options_.seed)
{
}

deployment::~deployment()
{
    is_stopping_ = true;
    if (traffic_.joinable())
    {
        traffic_.join();
    }
}

/** Machines for the backend servers of all services, followed by the spare ones. */
std::vector<machine> deployment::make_agents() const
{
    std::vector<std::string> services;
    for (const service_plan& plan : options_.services)
    {
        services.insert(services.end(), plan.servers, plan.name);
    }
    services.insert(services.end(), spare_machines, options_.services.front().name);
    std::vector<machine> machines =
        make_machines("agent-", options_.network, 4, static_cast<std::uint32_t>(services.size()));
    for (std::size_t i = 0; i < machines.size(); ++i)
    {
        machines[i].service = services[i];
    }
    return machines;
}

bool deployment::wait_until(time_point deadline, const std::function<bool()>& condition)
{
    while (!condition())
    {
        if (standins::clock_now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

bool deployment::start()
{
    daemons_.set_environment(options_.environment);
    for (const machine& control : controls_)
    {
        daemons_.start_control(control, true);
    }
    for (const machine& balancer : balancers_)
    {
        daemons_.start_balancer(balancer);
    }
    for (const machine& agent : agents_)
    {
        add_server(agent);
    }
    const time_point deadline = standins::clock_now() + start_timeout;
    if (!wait_until(deadline, [this] { return replace_configuration(); }))
    {
        return false;
    }
    routers_ = std::make_unique<packet_routers>(balancers_);
    if (!wait_until(deadline, [this] { return routers_->in_rotation() == balancers_.size(); }))
    {
        return false;
    }
    std::this_thread::sleep_for(settle_time);
    start_clients();
    started_at_ = standins::clock_now();
    traffic_ = std::thread([this] { run_traffic(); });
    return true;
}

void deployment::start_clients()
{
    const std::uint32_t groups = options_.has_client_domains ? domain_count : 1;
    const std::uint64_t seed = random_();
    for (std::uint32_t i = 0; i < groups; ++i)
    {
        flow_clients::options client_options = options_.clients;
        client_options.concurrent_flows /= groups;
        client_options.from = {loopback_address(options_.network, 7, i + 1), ports::datagrams};
        client_options.domain = options_.has_client_domains ? domain_name(i) : "";
        for (std::size_t service = 0; service < options_.services.size(); ++service)
        {
            client_options.services.push_back(service_address(service));
        }
        client_options.seed = seed + i;
        clients_.push_back(std::make_unique<flow_clients>(client_options, *routers_, judge_));
    }
}

void deployment::run()
{
    while (standins::clock_now() - started_at_ < options_.traffic_time)
    {
        while (!steps_.empty() && steps_.begin()->first <= standins::clock_now())
        {
            const std::function<void()> step = std::move(steps_.begin()->second);
            steps_.erase(steps_.begin());
            step();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

void deployment::run_traffic()
{
    while (!is_stopping_)
    {
        std::vector<int> fds;
        for (const std::unique_ptr<flow_clients>& clients : clients_)
        {
            fds.push_back(clients->fd());
        }
        {
            const std::lock_guard<std::mutex> guard(traffic_lock_);
            for (const std::unique_ptr<backend_server>& server : servers_)
            {
                fds.push_back(server->fd());
            }
        }
        standins::wait_readable(fds, std::chrono::milliseconds(2));
        const std::lock_guard<std::mutex> guard(traffic_lock_);
        for (const std::unique_ptr<backend_server>& server : servers_)
        {
            server->run(standins::clock_now());
        }
        for (const std::unique_ptr<flow_clients>& clients : clients_)
        {
            clients->run(standins::clock_now());
        }
    }
}

std::uint64_t deployment::sum_of(std::uint64_t flow_clients::counters::*counter) const
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<flow_clients>& clients : clients_)
    {
        sum += clients->totals().*counter;
    }
    return sum;
}

bool deployment::report()
{
    const std::lock_guard<std::mutex> guard(traffic_lock_);
    const std::uint64_t answers = sum_of(&flow_clients::counters::answers);
    std::cout << "opened " << sum_of(&flow_clients::counters::opened) << ", not opened "
              << sum_of(&flow_clients::counters::not_opened) << ", answers " << answers
              << ", unanswered " << sum_of(&flow_clients::counters::unanswered) << ", faults "
              << judge_.faults().size() << "\n";
    std::vector<machine> deciding = balancers_;
    deciding.insert(deciding.end(), agents_.begin(), agents_.end());
    std::size_t printed = 0;
    for (const flow_judge::fault& fault : judge_.faults())
    {
        if (++printed > max_printed_faults)
        {
            break;
        }
        const std::string client = to_string(fault.flow.client);
        std::cout << "fault at " << (fault.at - started_at_).count() / 1000 << " ms: flow "
                  << client << ", open at " << fault.server << ": " << fault.what << "\n";
        for (const machine& at : deciding)
        {
            for (const std::string& line : daemons_.find_in_log(at.name, "flow " + client + " "))
            {
                std::cout << "    " << at.name << " " << line << "\n";
            }
        }
    }
    const std::vector<std::string> ended = daemons_.ended_unexpectedly();
    for (const std::string& name : ended)
    {
        std::cout << name << " has ended by itself\n";
    }
    return judge_.faults().empty() && ended.empty() && answers != 0;
}

void deployment::log_event(const std::string& what) const
{
    std::cout << "  " << (standins::clock_now() - started_at_).count() / 1000 << " ms: " << what
              << "\n";
}

endpoint deployment::service_address(std::size_t service) const
{
    constexpr std::size_t addresses = 200;
    return {
        loopback_address(options_.network, 9, static_cast<std::uint32_t>(service % addresses) + 1),
        static_cast<std::uint16_t>(service_port + service / addresses)};
}

const machine& deployment::any_of(const std::vector<machine>& machines)
{
    return machines[random_() % machines.size()];
}

std::vector<machine> deployment::some_machines(double share)
{
    std::vector<machine> machines = controls_;
    machines.insert(machines.end(), balancers_.begin(), balancers_.end());
    machines.insert(machines.end(), agents_.begin(), agents_.end());
    std::shuffle(machines.begin(), machines.end(), random_);
    machines.resize(static_cast<std::size_t>(share * static_cast<double>(machines.size())));
    return machines;
}

const machine& deployment::leader() const
{
    std::string newest;
    const machine* found = &controls_.front();
    for (const machine& control : controls_)
    {
        const std::vector<std::string> lines =
            daemons_.find_in_log(control.name, "became the leader");
        if (!lines.empty() && lines.back() > newest)
        {
            newest = lines.back(); // Lines begin with their time.
            found = &control;
        }
    }
    return *found;
}

void deployment::schedule(time_point at, std::function<void()> step)
{
    steps_.emplace(at, std::move(step));
}

void deployment::signal(const std::string& name, int signal_number, const std::string& what)
{
    log_event(what + " " + name);
    daemons_.signal(name, signal_number);
}

/** Calls a function once the daemon has ended, and a further delay has passed. */
void deployment::when_ended(const std::string& name, duration delay,
                            const std::function<void()>& next)
{
    if (!daemons_.has_ended(name))
    {
        schedule(standins::clock_now() + poll_interval,
                 [this, name, delay, next] { when_ended(name, delay, next); });
        return;
    }
    schedule(standins::clock_now() + delay, next);
}

void deployment::start_again(const machine& at)
{
    if (!daemons_.has_ended(at.name))
    {
        return; // Another scenario has started it.
    }
    log_event("start " + at.name);
    switch (at.name[0])
    {
    case 'c':
        daemons_.start_control(at, false);
        break;
    case 'b':
        daemons_.start_balancer(at);
        break;
    default:
        daemons_.start_agent(with_current_service(at));
        break;
    }
}

/** The address may have gone to another service since the scenario chose the machine. */
machine deployment::with_current_service(const machine& at) const
{
    const auto current = std::find_if(agents_.begin(), agents_.end(),
                                      [&at](const machine& item) { return item.name == at.name; });
    return current == agents_.end() ? at : *current;
}

void deployment::restart(time_point at, const machine& which, int signal_number, duration delay)
{
    schedule(at,
             [this, which, signal_number, delay]
             {
                 signal(which.name, signal_number, signal_number == SIGTERM ? "stop" : "kill");
                 when_ended(which.name, delay, [this, which] { start_again(which); });
             });
}

void deployment::restart_in_turn(time_point at, const std::vector<machine>& which, duration gap)
{
    if (which.empty())
    {
        return;
    }
    schedule(at,
             [this, which, gap]
             {
                 const machine& first = which.front();
                 signal(first.name, SIGTERM, "stop");
                 when_ended(first.name, duration(0),
                            [this, which, gap]
                            {
                                start_again(which.front());
                                restart_in_turn(standins::clock_now() + gap,
                                                {which.begin() + 1, which.end()}, gap);
                            });
             });
}

void deployment::freeze(time_point at, const std::string& name, duration frozen_for)
{
    schedule(at, [this, name] { signal(name, SIGSTOP, "freeze"); });
    schedule(at + frozen_for, [this, name] { signal(name, SIGCONT, "thaw"); });
}

void deployment::slow_down(time_point at, const std::string& name, duration slow_for)
{
    constexpr duration period = std::chrono::milliseconds(400);
    schedule(at, [this, name] { log_event("slow down " + name); });
    for (duration passed{0}; passed < slow_for; passed += period)
    {
        schedule(at + passed, [this, name] { daemons_.signal(name, SIGSTOP); });
        schedule(at + passed + period * 3 / 4, [this, name] { daemons_.signal(name, SIGCONT); });
    }
}

void deployment::hang_up(const std::string& name)
{
    signal(name, SIGHUP, "hang up");
}

void deployment::add_spare_balancers()
{
    for (const machine& added : std::exchange(spare_balancers_, {}))
    {
        start_again(added);
        routers_->add(added);
    }
}

void deployment::add_server(const machine& at)
{
    daemons_.start_agent(at);
    const std::lock_guard<std::mutex> guard(traffic_lock_);
    servers_.push_back(std::make_unique<backend_server>(at, "i-" + std::to_string(++last_server_),
                                                        options_.max_flows_per_server, judge_));
}

backend_server* deployment::find_server(const std::string& name)
{
    for (const std::unique_ptr<backend_server>& server : servers_)
    {
        if (server->at().name == name && !server->has_ended())
        {
            return server.get();
        }
    }
    return nullptr;
}

void deployment::replace_server()
{
    if (spare_agents_.empty())
    {
        return;
    }
    machine added = spare_agents_.back();
    const machine removed = agents_.back();
    spare_agents_.pop_back();
    agents_.pop_back();
    log_event("replace the server at " + removed.name + " by one at " + added.name);
    added.service = removed.service;
    add_server(added);
    agents_.insert(agents_.begin(), added);
    schedule(standins::clock_now() + drain_after, [this, removed] { drain(removed); });
}

void deployment::remove_server()
{
    const machine removed = agents_.front();
    agents_.erase(agents_.begin());
    log_event("remove the server at " + removed.name);
    drain(removed);
}

void deployment::drain(const machine& removed)
{
    backend_server* server = find_server(removed.name);
    if (server != nullptr)
    {
        server->drain();
        leave_when_drained(removed);
    }
}

void deployment::leave_when_drained(const machine& removed)
{
    backend_server* server = find_server(removed.name);
    if (server == nullptr)
    {
        return;
    }
    if (!server->is_draining_acknowledged())
    {
        schedule(standins::clock_now() + poll_interval,
                 [this, removed] { leave_when_drained(removed); });
        return;
    }
    schedule(standins::clock_now() + drain_time,
             [this, removed, server]
             {
                 log_event("the server at " + removed.name + " leaves");
                 server->deregister();
                 schedule(standins::clock_now() + options_.exit_delay,
                          [this, removed, server] { end_departed(removed, *server); });
             });
}

void deployment::end_departed(const machine& removed, backend_server& server)
{
    {
        const std::lock_guard<std::mutex> guard(traffic_lock_);
        server.end();
    }
    schedule(standins::clock_now() + machine_removal_delay,
             [this, removed]
             {
                 signal(removed.name, SIGTERM, "stop");
                 when_ended(removed.name, duration(0), [] {});
             });
}

void deployment::end_server()
{
    const machine lost = agents_.front();
    log_event("the server at " + lost.name + " ends");
    agents_.erase(agents_.begin());
    const std::lock_guard<std::mutex> guard(traffic_lock_);
    find_server(lost.name)->end();
}

void deployment::restart_server(duration delay, bool keeps_id)
{
    const machine at = any_of(agents_);
    backend_server* ended = find_server(at.name);
    if (ended == nullptr)
    {
        return;
    }
    log_event("the server at " + at.name + " ends, and starts again");
    const std::string id = keeps_id ? ended->id() : "i-" + std::to_string(++last_server_);
    {
        const std::lock_guard<std::mutex> guard(traffic_lock_);
        ended->end();
        servers_.erase(std::find_if(servers_.begin(), servers_.end(),
                                    [ended](const std::unique_ptr<backend_server>& item)
                                    { return item.get() == ended; }));
    }
    schedule(standins::clock_now() + delay,
             [this, at, id]
             {
                 const std::lock_guard<std::mutex> guard(traffic_lock_);
                 servers_.push_back(std::make_unique<backend_server>(
                     at, id, options_.max_flows_per_server, judge_));
             });
}

void deployment::drop_route()
{
    const endpoint address = service_address(options_.services.size() - 1);
    log_event("drop the route at " + to_string(address));
    {
        const std::lock_guard<std::mutex> guard(traffic_lock_);
        judge_.note_route_dropped(address);
    }
    is_route_dropped_ = true;
    replace_configuration();
}

void deployment::restore_route()
{
    const endpoint address = service_address(options_.services.size() - 1);
    is_route_dropped_ = false;
    const bool is_acknowledged = replace_configuration();
    log_event("restore the route at " + to_string(address) +
              (is_acknowledged ? "" : ": not acknowledged"));
    const std::lock_guard<std::mutex> guard(traffic_lock_);
    judge_.note_route_restored(address);
}

void deployment::reuse_address()
{
    machine reused = agents_.front();
    backend_server* lost = find_server(reused.name);
    if (lost == nullptr)
    {
        return;
    }
    log_event("the server at " + reused.name + " ends, and its address is used again");
    agents_.erase(agents_.begin());
    {
        const std::lock_guard<std::mutex> guard(traffic_lock_);
        lost->end();
        servers_.erase(std::find_if(servers_.begin(), servers_.end(),
                                    [lost](const std::unique_ptr<backend_server>& item)
                                    { return item.get() == lost; }));
    }
    reused.service = options_.services.back().name;
    signal(reused.name, SIGTERM, "stop");
    when_ended(reused.name, address_reuse_time,
               [this, reused]
               {
                   add_server(reused);
                   agents_.push_back(reused);
               });
}

bool deployment::call_control(const std::string& path, const std::string& body)
{
    const machine& control = any_of(controls_);
    return call_http({control.address, ports::control_plane}, "POST", path, body, call_timeout) ==
           200;
}

std::string deployment::routes_text() const
{
    std::string text;
    for (std::size_t i = 0; i < options_.services.size() + idle_routes_; ++i)
    {
        if (is_route_dropped_ && i + 1 == options_.services.size())
        {
            continue;
        }
        const std::size_t service = i < options_.services.size() ? i : 0;
        const endpoint address = service_address(i);
        text += std::string(text.empty() ? "" : ",") + "{\"name\":\"route-" + std::to_string(i) +
                "\",\"hostname\":\"" + format_address(address.address) + "\",\"path_prefix\":\"/" +
                std::to_string(address.port) + "/\",\"route_type\":\"idempotent\",\"timeout_ms\":" +
                std::to_string(500 + configuration_version_) +
                ",\"target_latency_ms\":100,\"priority\":1,\"backend\":\"" +
                options_.services[service].name + "\",\"max_attempts\":2}";
    }
    return text;
}

std::string deployment::services_text() const
{
    std::string text;
    for (const service_plan& plan : options_.services)
    {
        text += std::string(text.empty() ? "" : ",") + "{\"name\":\"" + plan.name +
                "\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\","
                "\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}";
    }
    return text;
}

bool deployment::replace_configuration()
{
    ++configuration_version_;
    return call_control("/carawayshelf/Config.Replace",
                        "{\"version\":" + std::to_string(configuration_version_) + ",\"routes\":[" +
                            routes_text() + "],\"services\":[" + services_text() +
                            "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
}

void deployment::add_routes(std::uint32_t count)
{
    log_event("add " + std::to_string(count) + " routes");
    idle_routes_ += count;
    replace_configuration();
}

void deployment::evacuate(const std::string& domain)
{
    log_event("evacuate " + domain);
    call_control("/carawayshelf/Evacuate.Start/" + domain, "");
}

void deployment::take_back(const std::string& domain)
{
    log_event("take back " + domain);
    call_control("/carawayshelf/Evacuate.Finish/" + domain, "");
}

} // namespace carawayshelf::process_tests
