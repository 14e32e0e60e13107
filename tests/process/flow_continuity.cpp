// Runs a small deployment as separate processes on 127.0.0.0/8, with clients, backend servers and
// routers of the platform, and checks that open flows stay whole while daemons are stopped, killed,
// frozen and slowed down. Prints each broken guarantee with the log lines about its flow.
//
//   flow_continuity --program=PATH [--scenario=NAME,... | --seed=N] [--network=N]
//
// Exits with 0 if all guarantees were kept, 1 if not, 2 if the test could not run.

#include "deployment.hpp"
#include "scenarios.hpp"

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

DEFINE_string(program, "build/release/carawayshelf", "path of the carawayshelf program");
DEFINE_string(scenario, "", "names of scenarios that run together, separated by commas");
DEFINE_uint64(seed, 0, "without a scenario: draws some scenarios and their times");
DEFINE_bool(planned, false, "draws planned work only");
DEFINE_bool(all_scenarios, false, "draws from all scenarios");
DEFINE_uint32(network, 80, "second number of the loopback addresses");
DEFINE_uint32(balancers, 4, "number of balancers");
DEFINE_string(services, "despacho:9", "services and the number of their servers: NAME:COUNT,...");
DEFINE_uint32(max_flows, 2000, "servers return opening packets beyond this number of flows");
DEFINE_uint32(flows, 150, "number of concurrent flows");
DEFINE_double(seconds, 24.0, "duration of the traffic");
DEFINE_double(flow_seconds, 30.0, "maximum lifetime of a flow");
DEFINE_double(pause_seconds, 2.5, "maximum pause between two requests of a flow");
DEFINE_double(exit_delay_seconds, 0.0,
              "time between the deregistration of a backend server and its end");
DEFINE_bool(client_domains, false, "clients reach the balancers of their own domain only");
DEFINE_double(deadline_seconds, 5.0, "clients give a flow up if a request takes longer");
DEFINE_double(short_flows, 0.0, "share of flows that end after their first answer");
DEFINE_double(late_copies, 0.02, "share of opening packets that arrive late");
DEFINE_double(late_packets, 0.0, "share of the clients' other packets that arrive late");
DEFINE_string(link_faults, "", "path of liblink_faults.so, for the following");
DEFINE_uint32(link_delay_us, 0, "delay of the datagrams between daemons, and to clients");
DEFINE_uint32(link_jitter_us, 0, "further delay, at most");
DEFINE_uint32(link_bytes_per_s, 0, "rate of each daemon's link; 0: no limit");
DEFINE_uint32(ports, 50000, "ports of the clients of a failure domain, used in turn");
DEFINE_string(keep_logs, "", "folder to copy settings and logs to");

namespace carawayshelf::process_tests
{

namespace
{

/** When the scenarios of --scenario begin. */
constexpr duration scenario_start = std::chrono::seconds(3);

std::vector<deployment::service_plan> parse_services()
{
    std::vector<deployment::service_plan> services;
    std::istringstream items(FLAGS_services);
    for (std::string item; std::getline(items, item, ',');)
    {
        const std::size_t colon = std::min(item.find(':'), item.size());
        const std::string count = colon == item.size() ? "" : item.substr(colon + 1);
        services.push_back({item.substr(0, colon),
                            static_cast<std::uint32_t>(std::strtoul(count.c_str(), nullptr, 10))});
    }
    return services;
}

deployment::options make_options(const std::string& folder)
{
    deployment::options options;
    options.program = FLAGS_program;
    options.folder = folder;
    options.network = FLAGS_network;
    options.balancers = FLAGS_balancers;
    options.services = parse_services();
    options.max_flows_per_server = FLAGS_max_flows;
    options.has_client_domains = FLAGS_client_domains;
    options.exit_delay = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(FLAGS_exit_delay_seconds));
    options.traffic_time =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_seconds));
    options.clients.concurrent_flows = FLAGS_flows;
    options.clients.max_flow_s = FLAGS_flow_seconds;
    options.clients.max_pause_s = FLAGS_pause_seconds;
    options.clients.request_deadline =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_deadline_seconds));
    options.clients.short_flow_share = FLAGS_short_flows;
    options.clients.late_copy_share = FLAGS_late_copies;
    options.clients.late_packet_share = FLAGS_late_packets;
    options.clients.port_count = FLAGS_ports;
    options.seed = FLAGS_seed;
    if (!FLAGS_link_faults.empty())
    {
        options.environment = {"LD_PRELOAD=" +
                                   std::filesystem::absolute(FLAGS_link_faults).string(),
                               "LINK_DELAY_US=" + std::to_string(FLAGS_link_delay_us),
                               "LINK_JITTER_US=" + std::to_string(FLAGS_link_jitter_us),
                               "LINK_BYTES_PER_S=" + std::to_string(FLAGS_link_bytes_per_s)};
    }
    return options;
}

std::vector<timed_scenario> chosen_scenarios(duration traffic_time)
{
    if (FLAGS_scenario.empty())
    {
        const scenario_choice choice =
            FLAGS_planned ? scenario_choice::planned : scenario_choice::mixed;
        return draw_scenarios(FLAGS_seed, traffic_time,
                              FLAGS_all_scenarios ? scenario_choice::all : choice);
    }
    std::vector<timed_scenario> chosen;
    std::istringstream names(FLAGS_scenario);
    for (std::string name; std::getline(names, name, ',');)
    {
        chosen.emplace_back(name, scenario_start);
    }
    return chosen;
}

/** Returns the exit status. */
int run_deployment(const std::string& folder)
{
    const deployment::options options = make_options(folder);
    deployment site(options);
    if (!site.start())
    {
        std::cerr << "the deployment did not become ready in time\n";
        return 2;
    }
    for (const timed_scenario& scenario : chosen_scenarios(options.traffic_time))
    {
        std::cout << scenario.first << " at " << scenario.second.count() / 1000 << " ms\n";
        if (!schedule_scenario(site, scenario))
        {
            std::cerr << "unknown scenario '" << scenario.first << "'; use one of:";
            for (const std::string& known : scenario_names())
            {
                std::cerr << ' ' << known;
            }
            std::cerr << "\n";
            return 2;
        }
    }
    site.run();
    const bool is_kept = site.report();
    std::cout << (is_kept ? "kept" : "BROKEN") << "\n";
    return is_kept ? 0 : 1;
}

int run_test()
{
    const std::string folder =
        std::filesystem::temp_directory_path() /
        ("flow_continuity." + std::to_string(FLAGS_network) + "." + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const int status = run_deployment(folder);
    if (!FLAGS_keep_logs.empty())
    {
        std::filesystem::copy(folder, FLAGS_keep_logs,
                              std::filesystem::copy_options::recursive |
                                  std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(folder);
    return status;
}

} // namespace

} // namespace carawayshelf::process_tests

int main(int count, char** arguments)
{
    gflags::SetUsageMessage("checks that open flows stay whole");
    gflags::ParseCommandLineFlags(&count, &arguments, true);
    return carawayshelf::process_tests::run_test();
}
