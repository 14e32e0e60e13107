/** @file
    Operators change one catalogue entry concurrently while control instances crash between a write
    and its sync, lose disks, freeze, and are cut off in one or both directions. The history of the
    operators must be linearizable, and no accepted change may be lost. Time is virtual, seeds are
    fixed.
*/
#include "control_simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>

namespace carawayshelf::fakes
{

namespace
{

constexpr std::uint64_t default_histories = 5000;
constexpr int history_size = 150;

std::uint64_t histories_to_run()
{
    const char* text = std::getenv("CARAWAYSHELF_CONTROL_HISTORIES");
    return text == nullptr ? default_histories : std::strtoull(text, nullptr, 10);
}

rc::Gen<std::vector<control_step>> history_generator(control_membership membership,
                                                     control_losses losses)
{
    const std::size_t lost_disks = losses == control_losses::any ? 4 : 2;
    const std::size_t replacements = membership == control_membership::discovered ? 2 : 0;
    const std::size_t planned_stops = membership == control_membership::discovered ? 3 : 0;
    const rc::Gen<control_step_kind> kinds = rc::gen::weightedElement<control_step_kind>({
        {40, control_step_kind::act_as_operator},
        {36, control_step_kind::advance},
        {2, control_step_kind::crash},
        {3, control_step_kind::crash_on_next_write},
        {2, control_step_kind::stall_disk},
        {7, control_step_kind::restart},
        {lost_disks, control_step_kind::lose_disk},
        {replacements, control_step_kind::replace},
        {planned_stops, control_step_kind::terminate},
        {3, control_step_kind::cut_one_way},
        {2, control_step_kind::isolate},
        {5, control_step_kind::heal},
        {2, control_step_kind::freeze},
        {5, control_step_kind::unfreeze},
        {1, control_step_kind::many_changes},
    });
    const rc::Gen<control_step> steps = rc::gen::apply(
        [](control_step_kind kind, std::uint32_t random_value) {
            return control_step{kind, random_value};
        },
        kinds, rc::gen::inRange<std::uint32_t>(0, 1000));
    return rc::gen::container<std::vector<control_step>>(history_size, steps);
}

/** Runs the history of a seed with 3 or 5 instances, or with 3 to 6 if any disks are lost. Returns
    the first violation, or no text. */
std::string check_seed(std::uint64_t seed, injected_control_faults faults, std::uint64_t& accepted,
                       control_membership membership = control_membership::listed,
                       control_losses losses = control_losses::safe_ones)
{
    const std::vector<control_step> steps =
        history_generator(membership, losses)(rc::Random(seed), history_size).value();
    const std::size_t instances =
        losses == control_losses::any ? 3 + seed / 4 % 4 : (seed % 2 == 0 ? 3 : 5);
    control_simulation simulation(seed, instances, faults, membership, losses);
    simulation.run(steps);
    accepted += simulation.accepted();
    return simulation.violation();
}

void check_linearizable(control_membership membership,
                        control_losses losses = control_losses::safe_ones)
{
    std::uint64_t broken_seeds = 0;
    std::uint64_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= histories_to_run(); ++seed)
    {
        const std::string violation =
            check_seed(seed, injected_control_faults{}, accepted, membership, losses);
        if (!violation.empty())
        {
            ++broken_seeds;
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
        }
    }
    BOOST_TEST_MESSAGE(accepted << " edits accepted");
    BOOST_TEST(broken_seeds == 0U);
    BOOST_TEST(accepted > histories_to_run() * (losses == control_losses::any ? 1 : 2));
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_history)

BOOST_AUTO_TEST_CASE(the_catalogue_is_linearizable_with_listed_instances)
{
    check_linearizable(control_membership::listed);
}

BOOST_AUTO_TEST_CASE(the_catalogue_is_linearizable_with_discovered_and_replaced_instances)
{
    check_linearizable(control_membership::discovered);
}

/** Guards against a quorum of known losses that splits the cluster or shows an older state. */
BOOST_AUTO_TEST_CASE(the_catalogue_is_linearizable_while_any_listed_instances_lose_their_disks)
{
    check_linearizable(control_membership::listed, control_losses::any);
}

BOOST_AUTO_TEST_CASE(the_catalogue_is_linearizable_while_any_discovered_instances_lose_their_disks)
{
    check_linearizable(control_membership::discovered, control_losses::any);
}

BOOST_AUTO_TEST_CASE(each_injected_fault_is_detected)
{
    struct fault_case
    {
        const char* name;
        injected_control_faults faults;
        control_losses losses = control_losses::safe_ones;
    };
    std::vector<fault_case> cases(6);
    cases[0].name = "sync skipped";
    cases[0].faults.sync_skipped = true;
    cases[1].name = "vote not persisted";
    cases[1].faults.vote_not_persisted = true;
    cases[2].name = "old identity votes";
    cases[2].faults.old_identity_votes = true;
    cases[3].name = "stale read served";
    cases[3].faults.stale_read_served = true;
    cases[4].name = "sent before synced";
    cases[4].faults.sent_before_synced = true;
    cases[5].name = "living identity reported lost";
    cases[5].faults.living_identity_reported_lost = true;
    cases[5].losses = control_losses::any;
    for (const fault_case& item : cases)
    {
        std::string violation;
        std::uint64_t seed = 0;
        std::uint64_t accepted = 0;
        while (violation.empty() && seed < default_histories)
        {
            violation =
                check_seed(++seed, item.faults, accepted, control_membership::listed, item.losses);
        }
        BOOST_TEST_MESSAGE(item.name << " is detected by seed " << seed << ": " << violation);
        BOOST_CHECK_MESSAGE(!violation.empty(), item.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf::fakes
