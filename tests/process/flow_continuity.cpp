// Runs a small deployment as separate processes on 127.0.0.0/8, with clients, backend servers and
// routers of the platform, and checks that open flows stay whole while daemons are stopped, killed,
// frozen and slowed down. Prints each broken guarantee with the log lines about its flow.
//
//   flow_continuity --program=PATH [--scenario=NAME | --seed=N] [--network=N] [--keep_logs=FOLDER]

#include "backend_servers.hpp"
#include "daemon_processes.hpp"
#include "flow_clients.hpp"
#include "flow_judge.hpp"
#include "packet_routers.hpp"
#include "platform_http.hpp"
#include "standin_socket.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(program, "build/release/carawayshelf", "path of the carawayshelf program");
DEFINE_string(scenario, "", "names of scenarios that run together, separated by commas");
DEFINE_uint64(seed, 0, "without a scenario: draws some scenarios and their times");
DEFINE_uint32(network, 80, "second number of the loopback addresses");
DEFINE_uint32(balancers, 4, "number of balancers");
DEFINE_uint32(servers, 9, "number of backend servers");
DEFINE_uint32(flows, 150, "number of concurrent flows");
DEFINE_double(seconds, 24.0, "duration of the traffic");
DEFINE_double(flow_seconds, 30.0, "maximum lifetime of a flow");
DEFINE_double(pause_seconds, 2.5, "maximum pause between two requests of a flow");
DEFINE_double(late_copies, 0.02, "share of opening packets that arrive late");
DEFINE_string(keep_logs, "", "folder to copy settings and logs to");

namespace carawayshelf::process_tests
{

namespace
{

constexpr std::uint32_t control_instances = 3;
constexpr duration start_timeout = std::chrono::seconds(15);
constexpr std::size_t max_printed_faults = 20;
const std::string service_name = "despacho";

duration seconds(double value)
{
    return duration(static_cast<std::int64_t>(value * 1e6));
}

std::vector<machine> make_machines(const std::string& prefix, std::uint32_t group,
                                   std::uint32_t count)
{
    std::vector<machine> machines;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        const std::string domain = std::string("cuyo-") + static_cast<char>('a' + (i - 1) % 3);
        machines.push_back({prefix + std::to_string(i), domain,
                            (127U << 24U) | (FLAGS_network << 16U) | (group << 8U) | i});
    }
    return machines;
}

/** The deployment, its traffic, and the changes and failures that are scheduled. Runs on the
    caller's thread, except for the traffic. */
class deployment
{
public:
    deployment(const std::string& folder, std::uint64_t seed)
        : controls_(make_machines("control-", 1, control_instances)),
          balancers_(make_machines("balancer-", 2, FLAGS_balancers + 2)),
          agents_(make_machines("agent-", 4, FLAGS_servers + 2)),
          daemons_(FLAGS_program, folder, controls_), random_(seed)
    {
        spare_balancers_.assign(balancers_.begin() + FLAGS_balancers, balancers_.end());
        balancers_.resize(FLAGS_balancers);
        spare_agents_.assign(agents_.begin() + FLAGS_servers, agents_.end());
        agents_.resize(FLAGS_servers);
    }

    ~deployment()
    {
        is_stopping_ = true;
        if (traffic_.joinable())
        {
            traffic_.join();
        }
    }

    /** Starts all daemons and the traffic. Returns false if they are not ready in time. */
    bool start()
    {
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
        while (!replace_configuration())
        {
            if (standins::clock_now() > deadline)
            {
                return false;
            }
        }
        routers_ = std::make_unique<packet_routers>(balancers_);
        while (routers_->in_rotation() < balancers_.size())
        {
            if (standins::clock_now() > deadline)
            {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        std::this_thread::sleep_for(std::chrono::seconds(2)); // For the members to be settled.
        flow_clients::options options;
        options.from = {(127U << 24U) | (FLAGS_network << 16U) | (7U << 8U) | 1U, ports::datagrams};
        options.services = {service_address()};
        options.concurrent_flows = FLAGS_flows;
        options.max_flow_s = FLAGS_flow_seconds;
        options.max_pause_s = FLAGS_pause_seconds;
        options.late_copy_share = FLAGS_late_copies;
        options.seed = random_();
        clients_ = std::make_unique<flow_clients>(options, *routers_, judge_);
        started_at_ = standins::clock_now();
        traffic_ = std::thread([this] { run_traffic(); });
        return true;
    }

    /** Schedules a scenario at a time after the start of traffic. Returns false if its name is
        unknown. */
    bool schedule(const std::string& scenario, double at_s);

    static std::vector<std::string> scenario_names();

    /** Runs what is scheduled, until the end of the traffic. */
    void run()
    {
        while (standins::clock_now() - started_at_ < seconds(FLAGS_seconds))
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

    /** Prints the result. Returns whether all guarantees were kept. */
    bool report();

private:
    endpoint service_address() const
    {
        return {(127U << 24U) | (FLAGS_network << 16U) | (9U << 8U) | 1U, 443};
    }

    void add_server(const machine& at)
    {
        daemons_.start_agent(at, service_name);
        const std::lock_guard<std::mutex> guard(traffic_lock_);
        servers_.push_back(std::make_unique<backend_server>(
            at, service_name, "i-" + std::to_string(++last_server_), judge_));
    }

    backend_server* find_server(const std::string& name)
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

    bool call_control(const std::string& path, const std::string& body)
    {
        const machine& control = controls_[random_() % controls_.size()];
        const int status = call_http({control.address, ports::control_plane}, "POST", path, body,
                                     std::chrono::milliseconds(500));
        return status == 200;
    }

    bool replace_configuration()
    {
        const std::string address = format_address(service_address().address);
        const std::string port = std::to_string(service_address().port);
        return call_control(
            "/carawayshelf/Config.Replace",
            "{\"version\":" + std::to_string(configuration_version_) +
                ",\"routes\":[{\"name\":\"feed\",\"hostname\":\"" + address +
                "\",\"path_prefix\":\"/" + port +
                "/\",\"route_type\":\"idempotent\",\"timeout_ms\":" +
                std::to_string(500 + configuration_version_) +
                ",\"target_latency_ms\":100,\"priority\":1,\"backend\":\"" + service_name +
                "\",\"max_attempts\":2}],\"services\":[{\"name\":\"" + service_name +
                "\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\","
                "\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}],\"limits\":{"
                "\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                "\"idle_timeout_ms\":15000}}");
    }

    void run_traffic()
    {
        while (!is_stopping_)
        {
            std::vector<int> fds = {clients_->fd()};
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
            clients_->run(standins::clock_now());
        }
    }

    time_point after(double at_s) const
    {
        return started_at_ + seconds(at_s);
    }

    void add_step(time_point at, std::function<void()> step)
    {
        steps_.emplace(at, std::move(step));
    }

    void log_event(const std::string& what) const
    {
        std::cout << std::fixed;
        std::cout.precision(3);
        std::cout << "  "
                  << static_cast<double>((standins::clock_now() - started_at_).count()) / 1e6 << " "
                  << what << "\n";
    }

    void signal(const std::string& name, int signal_number, const std::string& what)
    {
        log_event(what + " " + name);
        daemons_.signal(name, signal_number);
    }

    /** Calls a function once the daemon has ended, and a further delay has passed. */
    void when_ended(const std::string& name, duration delay, const std::function<void()>& next)
    {
        if (!daemons_.has_ended(name))
        {
            add_step(standins::clock_now() + std::chrono::milliseconds(5),
                     [this, name, delay, next] { when_ended(name, delay, next); });
            return;
        }
        add_step(standins::clock_now() + delay, next);
    }

    void start_again(const machine& at)
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
            daemons_.start_agent(at, service_name);
            break;
        }
    }

    void restart(time_point at, const machine& which, int signal_number, double down_s)
    {
        add_step(at,
                 [this, which, signal_number, down_s]
                 {
                     signal(which.name, signal_number, signal_number == SIGTERM ? "stop" : "kill");
                     when_ended(which.name, seconds(down_s), [this, which] { start_again(which); });
                 });
    }

    /** Stops and starts machines one after the other. */
    void restart_in_turn(time_point at, const std::vector<machine>& which, double gap_s)
    {
        if (which.empty())
        {
            return;
        }
        add_step(at,
                 [this, which, gap_s]
                 {
                     const machine& first = which.front();
                     signal(first.name, SIGTERM, "stop");
                     when_ended(first.name, duration(0),
                                [this, which, gap_s, first]
                                {
                                    start_again(first);
                                    restart_in_turn(standins::clock_now() + seconds(gap_s),
                                                    {which.begin() + 1, which.end()}, gap_s);
                                });
                 });
    }

    void freeze(time_point at, const std::string& name, double for_s)
    {
        add_step(at, [this, name] { signal(name, SIGSTOP, "freeze"); });
        add_step(at + seconds(for_s), [this, name] { signal(name, SIGCONT, "thaw"); });
    }

    /** Lets a daemon run for a quarter of the time only. */
    void slow_down(time_point at, const std::string& name, double for_s)
    {
        constexpr double period_s = 0.4;
        add_step(at, [this, name] { log_event("slow down " + name); });
        for (double passed_s = 0.0; passed_s < for_s; passed_s += period_s)
        {
            add_step(at + seconds(passed_s), [this, name] { daemons_.signal(name, SIGSTOP); });
            add_step(at + seconds(passed_s + period_s * 0.75),
                     [this, name] { daemons_.signal(name, SIGCONT); });
        }
    }

    /** Replaces a backend server: a new one starts, and the old one drains and leaves. */
    void release(time_point at)
    {
        add_step(at,
                 [this]
                 {
                     if (spare_agents_.empty())
                     {
                         return;
                     }
                     const machine added = spare_agents_.back();
                     const machine removed = agents_.back();
                     spare_agents_.pop_back();
                     agents_.pop_back();
                     log_event("replace the server at " + removed.name + " by one at " +
                               added.name);
                     add_server(added);
                     add_step(standins::clock_now() + seconds(1.0),
                              [this, removed]
                              {
                                  find_server(removed.name)->drain();
                                  end_when_drained(removed);
                              });
                 });
    }

    void end_when_drained(const machine& removed)
    {
        backend_server* server = find_server(removed.name);
        if (!server->is_draining_acknowledged())
        {
            add_step(standins::clock_now() + seconds(0.05),
                     [this, removed] { end_when_drained(removed); });
            return;
        }
        add_step(standins::clock_now() + seconds(3.5),
                 [this, removed, server]
                 {
                     log_event("the server at " + removed.name + " leaves");
                     {
                         const std::lock_guard<std::mutex> guard(traffic_lock_);
                         server->end();
                     }
                     server->deregister();
                     signal(removed.name, SIGTERM, "stop");
                     when_ended(removed.name, duration(0), [] {});
                 });
    }

    /** Name of the control instance that became the leader last. */
    std::string leader() const
    {
        std::string newest;
        std::string name = controls_.front().name;
        for (const machine& control : controls_)
        {
            const std::vector<std::string> lines =
                daemons_.find_in_log(control.name, "became the leader");
            if (!lines.empty() && lines.back() > newest)
            {
                newest = lines.back(); // Lines begin with their time.
                name = control.name;
            }
        }
        return name;
    }

    const machine& any_of(const std::vector<machine>& machines)
    {
        return machines[random_() % machines.size()];
    }

    using scenario_function = void (*)(deployment&, time_point);
    static const std::map<std::string, scenario_function>& scenarios();

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
    std::unique_ptr<flow_clients> clients_;
    std::thread traffic_;
    std::atomic<bool> is_stopping_{false};
    std::mt19937_64 random_;
    std::multimap<time_point, std::function<void()>> steps_;
    time_point started_at_;
    std::uint64_t configuration_version_ = 1;
    int last_server_ = 0;
};

const std::map<std::string, deployment::scenario_function>& deployment::scenarios()
{
    static const std::map<std::string, scenario_function> all = {
        {"none",
         [](deployment& /*site*/, time_point /*at*/) {
         }},
        {"balancer-roll",
         [](deployment& site, time_point at)
         {
             site.restart_in_turn(at, site.balancers_, 1.3);
         }},
        {"balancer-add",
         [](deployment& site, time_point at)
         {
             site.add_step(at,
                           [&site]
                           {
                               for (const machine& added : site.spare_balancers_)
                               {
                                   site.start_again(added);
                                   site.routers_->add(added);
                               }
                               site.spare_balancers_.clear();
                           });
         }},
        {"balancer-kill",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.balancers_), SIGKILL, 1.0);
         }},
        {"balancer-freeze",
         [](deployment& site, time_point at)
         {
             site.freeze(at, site.any_of(site.balancers_).name, 4.0);
         }},
        {"balancer-slow",
         [](deployment& site, time_point at)
         {
             site.slow_down(at, site.any_of(site.balancers_).name, 6.0);
         }},
        {"control-roll",
         [](deployment& site, time_point at)
         {
             site.restart_in_turn(at, site.controls_, 2.0);
         }},
        {"control-kill",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.controls_), SIGKILL, 2.0);
         }},
        {"control-freeze",
         [](deployment& site, time_point at)
         {
             site.freeze(at, site.any_of(site.controls_).name, 7.0);
         }},
        {"leader-stop",
         [](deployment& site, time_point at)
         {
             site.add_step(at,
                           [&site]
                           {
                               const std::string name = site.leader();
                               for (const machine& control : site.controls_)
                               {
                                   if (control.name == name)
                                   {
                                       site.restart(standins::clock_now(), control, SIGTERM, 0.5);
                                   }
                               }
                           });
         }},
        {"leader-freeze",
         [](deployment& site, time_point at)
         {
             site.add_step(at, [&site] { site.freeze(standins::clock_now(), site.leader(), 5.0); });
         }},
        {"agent-freeze",
         [](deployment& site, time_point at)
         {
             site.freeze(at, site.any_of(site.agents_).name, 7.0);
         }},
        {"agents-freeze",
         [](deployment& site, time_point at)
         {
             for (std::size_t i = 0; i < site.agents_.size(); i += 3)
             {
                 site.freeze(at, site.agents_[i].name, 5.0);
             }
         }},
        {"agent-slow",
         [](deployment& site, time_point at)
         {
             site.slow_down(at, site.any_of(site.agents_).name, 8.0);
         }},
        {"agent-kill",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.agents_), SIGKILL, 0.5);
         }},
        {"agent-down",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.agents_), SIGTERM, 6.0);
         }},
        {"agent-roll",
         [](deployment& site, time_point at)
         {
             site.restart_in_turn(at, site.agents_, 0.7);
         }},
        {"agents-kill",
         [](deployment& site, time_point at)
         {
             for (std::size_t i = 0; i < site.agents_.size(); i += 2)
             {
                 site.restart(at, site.agents_[i], SIGKILL, 0.5);
             }
         }},
        {"release",
         [](deployment& site, time_point at)
         {
             site.release(at);
         }},
        {"server-end",
         [](deployment& site, time_point at)
         {
             site.add_step(at,
                           [&site]
                           {
                               const machine lost = site.agents_.front();
                               site.log_event("the server at " + lost.name + " ends");
                               const std::lock_guard<std::mutex> guard(site.traffic_lock_);
                               site.find_server(lost.name)->end();
                               site.agents_.erase(site.agents_.begin());
                           });
         }},
        {"configuration",
         [](deployment& site, time_point at)
         {
             site.add_step(at,
                           [&site]
                           {
                               ++site.configuration_version_;
                               site.log_event("replace the configuration");
                               site.replace_configuration();
                           });
         }},
        {"evacuation",
         [](deployment& site, time_point at)
         {
             site.add_step(at,
                           [&site]
                           {
                               site.log_event("evacuate cuyo-b");
                               site.call_control("/carawayshelf/Evacuate.Start/cuyo-b", "");
                           });
             site.add_step(at + seconds(5.0),
                           [&site]
                           {
                               site.log_event("take back cuyo-b");
                               site.call_control("/carawayshelf/Evacuate.Finish/cuyo-b", "");
                           });
         }},
        {"signals",
         [](deployment& site, time_point at)
         {
             site.add_step(at,
                           [&site]
                           {
                               for (const machine& balancer : site.balancers_)
                               {
                                   site.signal(balancer.name, SIGHUP, "hang up");
                               }
                           });
         }},
    };
    return all;
}

bool deployment::schedule(const std::string& scenario, double at_s)
{
    const auto found = scenarios().find(scenario);
    if (found == scenarios().end())
    {
        return false;
    }
    found->second(*this, after(at_s));
    return true;
}

std::vector<std::string> deployment::scenario_names()
{
    std::vector<std::string> names;
    for (const auto& [name, function] : scenarios())
    {
        names.push_back(name);
    }
    return names;
}

bool deployment::report()
{
    const std::lock_guard<std::mutex> guard(traffic_lock_);
    const flow_clients::counters& totals = clients_->totals();
    std::cout << "opened " << totals.opened << ", not opened " << totals.not_opened << ", answers "
              << totals.answers << ", unanswered " << totals.unanswered << ", faults "
              << judge_.faults().size() << "\n";
    std::vector<machine> all = balancers_;
    all.insert(all.end(), agents_.begin(), agents_.end());
    std::size_t printed = 0;
    for (const flow_judge::fault& fault : judge_.faults())
    {
        if (++printed > max_printed_faults)
        {
            break;
        }
        log_event("fault at " + std::to_string((fault.at - started_at_).count() / 1000) +
                  " ms: flow " + to_string(fault.flow.client) + ", open at " + fault.server + ": " +
                  fault.what);
        for (const machine& at : all)
        {
            for (const std::string& line :
                 daemons_.find_in_log(at.name, "flow " + to_string(fault.flow.client) + " "))
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
    return judge_.faults().empty() && ended.empty() && totals.answers != 0;
}

/** Draws the scenarios of a seed with their times. */
std::vector<std::pair<std::string, double>> draw_scenarios(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> time(1.0, FLAGS_seconds * 0.6);
    const std::vector<std::string> names = deployment::scenario_names();
    std::vector<std::pair<std::string, double>> drawn;
    const std::size_t count = 3 + random() % 4;
    for (std::size_t i = 0; i < count; ++i)
    {
        drawn.emplace_back(names[random() % names.size()], time(random));
    }
    return drawn;
}

int run_test()
{
    const std::string folder =
        std::filesystem::temp_directory_path() /
        ("flow_continuity." + std::to_string(FLAGS_network) + "." + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    bool is_kept = false;
    {
        deployment site(folder, FLAGS_seed);
        if (!site.start())
        {
            std::cerr << "the deployment did not become ready in time\n";
            return 2;
        }
        std::vector<std::pair<std::string, double>> scheduled;
        std::istringstream names(FLAGS_scenario);
        for (std::string name; std::getline(names, name, ',');)
        {
            scheduled.emplace_back(name, 3.0);
        }
        if (scheduled.empty())
        {
            scheduled = draw_scenarios(FLAGS_seed);
        }
        for (const auto& [name, at_s] : scheduled)
        {
            std::cout << name << " at " << at_s << " s\n";
            if (!site.schedule(name, at_s))
            {
                std::cerr << "unknown scenario '" << name << "'; use one of:";
                for (const std::string& known : deployment::scenario_names())
                {
                    std::cerr << ' ' << known;
                }
                std::cerr << "\n";
                return 2;
            }
        }
        site.run();
        is_kept = site.report();
    }
    if (!FLAGS_keep_logs.empty())
    {
        std::filesystem::copy(folder, FLAGS_keep_logs,
                              std::filesystem::copy_options::recursive |
                                  std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(folder);
    std::cout << (is_kept ? "kept" : "BROKEN") << "\n";
    return is_kept ? 0 : 1;
}

} // namespace

} // namespace carawayshelf::process_tests

int main(int count, char** arguments)
{
    gflags::SetUsageMessage("checks that open flows stay whole");
    gflags::ParseCommandLineFlags(&count, &arguments, true);
    return carawayshelf::process_tests::run_test();
}
