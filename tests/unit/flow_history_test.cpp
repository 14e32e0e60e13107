/** @file
    Checks invariants of flows and requests over generated histories of joins, drains, crashes,
    freezes, failure domain changes and edits. Balancers and agents hold arbitrary older tables;
    datagrams are lost, duplicated and reordered. Time is virtual; seeds are fixed.
*/
#include "agent_simulation.hpp"
#include "generated_history.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace carawayshelf::fakes
{

namespace
{

constexpr std::uint64_t default_histories = 10000;

std::uint64_t histories_to_run()
{
    const char* text = std::getenv("CARAWAYSHELF_HISTORIES");
    return text == nullptr ? default_histories : std::strtoull(text, nullptr, 10);
}

/** Runs the history of a seed. Returns the first violation, or an empty string. */
std::string check_seed(std::uint64_t seed, injected_agent_faults faults)
{
    agent_simulation simulation(seed, faults);
    simulation.run(make_history(seed).value());
    return simulation.violation();
}

/** Returns the first seed whose history shows a violation, or zero. */
std::uint64_t first_failing_seed(injected_agent_faults faults, std::uint64_t max_seeds)
{
    for (std::uint64_t seed = 1; seed <= max_seeds; ++seed)
    {
        if (!check_seed(seed, faults).empty())
        {
            return seed;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_history)

BOOST_AUTO_TEST_CASE(invariants_hold_in_generated_histories)
{
    std::uint64_t failed_seeds = 0;
    for (std::uint64_t seed = 1; seed <= histories_to_run(); ++seed)
    {
        const std::string violation = check_seed(seed, injected_agent_faults{});
        if (!violation.empty())
        {
            ++failed_seeds;
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
            BOOST_CHECK_MESSAGE(failed_seeds > 10, "seed " << seed << ": " << violation);
        }
    }
    BOOST_TEST(failed_seeds == 0U);
}

BOOST_AUTO_TEST_CASE(each_injected_fault_is_detected)
{
    struct fault_case
    {
        const char* name;
        injected_agent_faults faults;
    };
    std::vector<fault_case> cases(5);
    cases[0].name = "earlier owner released at any generation if its bucket is empty";
    cases[0].faults.release_any_empty_bucket = true;
    cases[1].name = "visit accepted at any row generation";
    cases[1].faults.visit_ignores_generation = true;
    cases[2].name = "restarted agent adopts flows before control has confirmed it";
    cases[2].faults.restart_adopts_without_control = true;
    cases[3].name = "balancer answers requests as not run";
    cases[3].faults.balancer_answers_not_run = true;
    cases[4].name = "Echo value of another epoch accepted";
    cases[4].faults.echo_of_other_epoch_accepted = true;
    for (const fault_case& item : cases)
    {
        const std::uint64_t seed = first_failing_seed(item.faults, default_histories);
        BOOST_TEST_MESSAGE(item.name << " is detected by seed " << seed << ": "
                                     << check_seed(seed, item.faults));
        BOOST_CHECK_MESSAGE(seed != 0, item.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::fakes
