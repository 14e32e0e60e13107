// An operator sends one invalid configuration: where the version should be a number, it has lists
// nested in each other. The body stays under 262,144 bytes. Judged: whether processes of the core
// end by themselves three times on half of the core.
#include "harness.hpp"

using namespace review;

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    constexpr int depth = 100000;
    constexpr double restart_delay_s = 0.5;
    deployment site("127.63");
    const std::vector<machine> cores = {{"core-a", "cuyo-a", "127.63.1.1"},
                                        {"core-b", "cuyo-b", "127.63.1.2"},
                                        {"core-c", "cuyo-c", "127.63.1.3"}};
    const std::vector<route> routes = {{"r-1", "127.63.9.1", 443, "despacho"}};
    operator_standin orders(cores, site.ports().control_plane);
    if (!start_core(site, orders, cores, make_configuration(1, routes, {"despacho"})))
    {
        return cannot_run("the first configuration was not acknowledged");
    }
    sleep_s(4.5); // Nothing was disturbed for stable_window_ms.

    // The platform starts a process again that has ended.
    std::map<std::string, int> ends;
    std::atomic<bool> is_stopping{false};
    std::thread platform(
        [&]
        {
            std::map<std::string, double> start_at;
            while (!is_stopping)
            {
                for (const machine& core : cores)
                {
                    int status = 0;
                    if (site.processes().has_ended(core.name, status))
                    {
                        ++ends[core.name];
                        record.line("end    %s ended by itself, %s %d", core.name.c_str(),
                                    WIFSIGNALED(status) ? "signal" : "code",
                                    WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                        start_at[core.name] = seconds() + restart_delay_s;
                    }
                    const auto due = start_at.find(core.name);
                    if (due != start_at.end() && seconds() >= due->second)
                    {
                        start_at.erase(due);
                        site.start_control(core, site.seeds(cores), false);
                    }
                }
                sleep_s(0.02);
            }
        });
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string valid = make_configuration(2, routes, {"despacho"});
    // In both runs the configuration is invalid; without the trouble, its version is a plain list.
    const std::string version = has_trouble() ? nested : "[[]]";
    const std::string invalid = "{\"version\":" + version + valid.substr(valid.find(",\"routes\""));
    record.line("fault  an invalid configuration of %zu bytes", invalid.size());
    const int status =
        orders.order("invalid configuration", "/carawayshelf/Config.Replace", invalid, 20.0);
    record.line("the invalid configuration: %s",
                status == 0 ? "no clear answer in 20 s" : std::to_string(status).c_str());
    sleep_s(2.0);
    // Not judged, only recorded: whether the control plane takes orders again.
    const int later = orders.order("version 2", "/carawayshelf/Config.Replace", valid, 10.0);
    record.line("version 2: %s", later == 200 ? "acknowledged" : "not acknowledged");
    is_stopping = true;
    platform.join();
    int machines = 0;
    int all = 0;
    for (const auto& [name, number] : ends)
    {
        machines += number >= 3 ? 1 : 0;
        all += number;
    }
    return finish(machines * 2 >= static_cast<int>(cores.size()),
                  std::to_string(all) + " ends of their own, three or more on " +
                      std::to_string(machines) + " of " + std::to_string(cores.size()) +
                      " core machines; the invalid configuration was answered with " +
                      std::to_string(status));
}
