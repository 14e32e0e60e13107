/** @file
    carawayshelf-lab: simulates the policies of a scenario in a model of the platform and prints a
    comparison of their results.
*/
#include "carawayshelf_lab/carawayshelf_lab.hpp"

#include <gflags/gflags.h>
#include <tbb/parallel_for.h>

#include <fstream>
#include <iostream>

DEFINE_uint32(seeds, 0, "runs of each policy; 0: the number in the scenario");
DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_bool(details, false, "print late and failed requests by kind, and those of new servers");
DEFINE_string(svg, "", "output file for the plot");

namespace
{

using namespace carawayshelf::lab;

constexpr int exit_usage = 2;

/** Simulates one policy with all seeds. */
policy_result run_policy(const lab_scenario& scenario, const lab_policy& policy)
{
    policy_result result(scenario, policy.name);
    for (std::uint32_t i = 0; i < scenario.seeds; ++i)
    {
        lab_simulation simulation(scenario, policy, FLAGS_first_seed + i, result);
        simulation.run();
    }
    return result;
}

std::vector<policy_result> run_all_policies(const lab_scenario& scenario)
{
    std::vector<policy_result> results;
    for (const lab_policy& policy : scenario.policies)
    {
        results.emplace_back(scenario, policy.name);
    }
    tbb::parallel_for(std::size_t{0}, results.size(),
                      [&scenario, &results](std::size_t index)
                      { results[index] = run_policy(scenario, scenario.policies[index]); });
    return results;
}

int run(const std::string& file)
{
    std::ifstream text(file);
    if (!text)
    {
        std::cerr << file << " cannot be read; give the path of a scenario file\n";
        return exit_usage;
    }
    lab_scenario scenario;
    const std::vector<std::string> faults = read_scenario(text, scenario);
    for (const std::string& fault : faults)
    {
        std::cerr << file << ": " << fault << '\n';
    }
    if (!faults.empty())
    {
        return exit_usage;
    }
    if (FLAGS_seeds != 0)
    {
        scenario.seeds = FLAGS_seeds;
    }
    const std::vector<policy_result> results = run_all_policies(scenario);
    std::cout << scenario.name << ", " << scenario.seeds << " seeds from " << FLAGS_first_seed
              << "\n"
              << format_table(scenario, results) << format_outcomes(scenario, results)
              << format_kind_table(scenario, results) << '\n'
              << format_failures(scenario, results);
    if (FLAGS_details)
    {
        std::cout << format_details(scenario, results);
    }
    if (!FLAGS_svg.empty())
    {
        std::ofstream plot(FLAGS_svg);
        plot << plot_results(scenario, results);
        if (!plot.flush())
        {
            std::cerr << FLAGS_svg << " cannot be written; give a file in an existing folder\n";
            return EXIT_FAILURE;
        }
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "run SCENARIO.ini [--seeds=N] [--first_seed=N] [--svg=FILE] [--details]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 3 || std::string(argv[1]) != "run")
    {
        std::cerr << "usage: carawayshelf-lab " << gflags::ProgramUsage() << '\n';
        return exit_usage;
    }
    return run(argv[2]);
}
