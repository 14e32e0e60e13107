#include "scenarios.hpp"

#include "standin_socket.hpp"

#include <csignal>
#include <map>
#include <random>

namespace carawayshelf::process_tests
{

namespace
{

using namespace std::chrono_literals;

using scenario_function = void (*)(deployment&, time_point);

/** Every how many machines a failure of many machines strikes. */
constexpr std::size_t frozen_stride = 3;
constexpr std::size_t killed_stride = 2;

constexpr double rolled_share = 0.4;
constexpr std::uint32_t added_routes = 300;

const std::string evacuated_domain = "cuyo-b";

using scenario_map = std::map<std::string, scenario_function>;

/** Scenarios from which draw_scenarios() draws. A further one would change what each seed draws. */
const scenario_map& mixed_scenarios()
{
    static const scenario_map all = {
        {"none",
         [](deployment& /*site*/, time_point /*at*/) {
         }},
        {"balancer-roll",
         [](deployment& site, time_point at)
         {
             site.restart_in_turn(at, site.balancers(), 1300ms);
         }},
        {"balancer-add",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.add_spare_balancers(); });
         }},
        {"balancer-kill",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.balancers()), SIGKILL, 1s);
         }},
        {"balancer-freeze",
         [](deployment& site, time_point at)
         {
             site.freeze(at, site.any_of(site.balancers()).name, 4s);
         }},
        {"balancer-slow",
         [](deployment& site, time_point at)
         {
             site.slow_down(at, site.any_of(site.balancers()).name, 6s);
         }},
        {"control-roll",
         [](deployment& site, time_point at)
         {
             site.restart_in_turn(at, site.controls(), 2s);
         }},
        {"control-kill",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.controls()), SIGKILL, 2s);
         }},
        {"control-freeze",
         [](deployment& site, time_point at)
         {
             site.freeze(at, site.any_of(site.controls()).name, 7s);
         }},
        {"leader-stop",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site]
                           { site.restart(standins::clock_now(), site.leader(), SIGTERM, 500ms); });
         }},
        {"leader-freeze",
         [](deployment& site, time_point at)
         {
             site.schedule(at,
                           [&site] { site.freeze(standins::clock_now(), site.leader().name, 5s); });
         }},
        {"agent-freeze",
         [](deployment& site, time_point at)
         {
             site.freeze(at, site.any_of(site.agents()).name, 7s);
         }},
        {"agents-freeze",
         [](deployment& site, time_point at)
         {
             for (std::size_t i = 0; i < site.agents().size(); i += frozen_stride)
             {
                 site.freeze(at, site.agents()[i].name, 5s);
             }
         }},
        {"agent-slow",
         [](deployment& site, time_point at)
         {
             site.slow_down(at, site.any_of(site.agents()).name, 8s);
         }},
        {"agent-kill",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.agents()), SIGKILL, 500ms);
         }},
        {"agent-down",
         [](deployment& site, time_point at)
         {
             site.restart(at, site.any_of(site.agents()), SIGTERM, 6s);
         }},
        {"agent-roll",
         [](deployment& site, time_point at)
         {
             site.restart_in_turn(at, site.agents(), 700ms);
         }},
        {"agents-kill",
         [](deployment& site, time_point at)
         {
             for (std::size_t i = 0; i < site.agents().size(); i += killed_stride)
             {
                 site.restart(at, site.agents()[i], SIGKILL, 500ms);
             }
         }},
        {"release",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.replace_server(); });
         }},
        {"server-end",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.end_server(); });
         }},
        {"configuration",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.replace_configuration(); });
         }},
        {"evacuation",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.evacuate(evacuated_domain); });
             site.schedule(at + 5s, [&site] { site.take_back(evacuated_domain); });
         }},
        {"signals",
         [](deployment& site, time_point at)
         {
             site.schedule(at,
                           [&site]
                           {
                               for (const machine& balancer : site.balancers())
                               {
                                   site.hang_up(balancer.name);
                               }
                           });
         }},
    };
    return all;
}

/** Planned work of the deployments. */
const scenario_map& planned_scenarios()
{
    static const scenario_map all = []
    {
        scenario_map planned = {
            {"machine-roll",
             [](deployment& site, time_point at)
             {
                 site.restart_in_turn(at, site.some_machines(rolled_share), 1200ms);
             }},
            {"scale-in",
             [](deployment& site, time_point at)
             {
                 site.schedule(at, [&site] { site.remove_server(); });
             }},
            {"address-reuse",
             [](deployment& site, time_point at)
             {
                 site.schedule(at, [&site] { site.reuse_address(); });
             }},
            {"routes",
             [](deployment& site, time_point at)
             {
                 site.schedule(at, [&site] { site.add_routes(added_routes); });
             }},
        };
        for (const char* name : {"balancer-roll", "balancer-add", "control-roll", "leader-stop",
                                 "agent-roll", "release", "configuration", "evacuation", "signals"})
        {
            planned.insert(*mixed_scenarios().find(name));
        }
        return planned;
    }();
    return all;
}

/** Scenarios that are drawn only among all. */
const scenario_map& further_scenarios()
{
    static const scenario_map all = {
        {"server-restart",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.restart_server(300ms, true); });
             site.schedule(at + 3s, [&site] { site.restart_server(1500ms, false); });
         }},
        {"route-dropped",
         [](deployment& site, time_point at)
         {
             site.schedule(at, [&site] { site.drop_route(); });
             site.schedule(at + 1200ms, [&site] { site.restore_route(); });
             site.schedule(at + 5s, [&site] { site.drop_route(); });
             site.schedule(at + 8s, [&site] { site.restore_route(); });
         }},
        {"route-flaps",
         [](deployment& site, time_point at)
         {
             for (int i = 0; i < 12; ++i)
             {
                 site.schedule(at + i * 1500ms, [&site] { site.drop_route(); });
                 site.schedule(at + i * 1500ms + 400ms, [&site] { site.restore_route(); });
             }
         }},
    };
    return all;
}

scenario_map all_scenarios()
{
    scenario_map all = mixed_scenarios();
    all.insert(planned_scenarios().begin(), planned_scenarios().end());
    all.insert(further_scenarios().begin(), further_scenarios().end());
    return all;
}

std::vector<std::string> names_of(const scenario_map& scenarios)
{
    std::vector<std::string> names;
    for (const auto& [name, function] : scenarios)
    {
        names.push_back(name);
    }
    return names;
}

} // namespace

std::vector<std::string> scenario_names()
{
    return names_of(all_scenarios());
}

bool schedule_scenario(deployment& site, const timed_scenario& scenario)
{
    const scenario_map all = all_scenarios();
    const auto found = all.find(scenario.first);
    if (found == all.end())
    {
        return false;
    }
    found->second(site, site.started_at() + scenario.second);
    return true;
}

std::vector<timed_scenario> draw_scenarios(std::uint64_t seed, duration traffic_time,
                                           scenario_choice choice)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> part_of_time(0.04, 0.6);
    const std::vector<std::string> names =
        choice == scenario_choice::all
            ? scenario_names()
            : names_of(choice == scenario_choice::planned ? planned_scenarios()
                                                          : mixed_scenarios());
    std::vector<timed_scenario> drawn;
    const std::size_t count = 3 + random() % 4;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string& name = names[random() % names.size()];
        drawn.emplace_back(
            name, std::chrono::duration_cast<duration>(traffic_time * part_of_time(random)));
    }
    return drawn;
}

} // namespace carawayshelf::process_tests
