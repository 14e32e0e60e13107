/** @file
    The consensus core alone, message by message.
*/
#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/voter_renewal.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace carawayshelf
{

namespace
{

/** Instances that have just started with the same log; messages wait until they are carried. */
struct group
{
    explicit group(instance_slot slots)
    {
        stored_state stored;
        stored.hard = {1, 0};
        stored.base.index = 1;
        stored.base.term = 1;
        for (instance_slot slot = 1; slot <= slots; ++slot)
        {
            stored.base.voters.push_back(first_identity(slot));
        }
        for (const instance_id voter : stored.base.voters)
        {
            stored.identity = voter;
            cores.emplace(voter, consensus_core(consensus_settings{}, stored, voter, now));
        }
    }

    /** Carries out what an instance wants to do; its messages wait. */
    void drive(instance_id which)
    {
        consensus_core& core = cores.at(which);
        for (consensus_output output = core.take_output(); !output.is_empty();
             output = core.take_output())
        {
            core.persisted(now);
            waiting.insert(waiting.end(), output.messages.begin(), output.messages.end());
        }
    }

    /** Delivers what waits to one instance, and has it carry out what follows. */
    void deliver_to(instance_id which)
    {
        std::vector<message> others;
        for (const message& value : std::exchange(waiting, {}))
        {
            value.to == which ? cores.at(which).receive(now, value) : others.push_back(value);
        }
        drive(which);
        waiting.insert(waiting.end(), others.begin(), others.end());
    }

    /** Carries messages among these until none is left; what goes to others is lost. */
    void settle(const std::vector<instance_id>& alive)
    {
        while (!waiting.empty())
        {
            for (const instance_id which : alive)
            {
                deliver_to(which);
            }
            const auto is_lost = [&alive](const message& value)
            {
                return std::find(alive.begin(), alive.end(), value.to) == alive.end();
            };
            waiting.erase(std::remove_if(waiting.begin(), waiting.end(), is_lost), waiting.end());
        }
    }

    time_point now{std::chrono::seconds(100)};
    std::map<instance_id, consensus_core> cores;
    std::vector<message> waiting;
};

} // namespace

BOOST_AUTO_TEST_SUITE(consensus)

/** After a loss of all power each daemon has to wait until its instance is current, so a follower
    that answers after the others must not wait for the next heartbeat. */
BOOST_AUTO_TEST_CASE(a_follower_that_answers_late_hears_at_once_what_is_committed)
{
    group all(3);
    const instance_id leader = first_identity(1);
    const instance_id quick = first_identity(2);
    const instance_id late = first_identity(3);
    all.now += std::chrono::milliseconds(70);
    all.cores.at(leader).tick(all.now);
    all.drive(leader);
    for (int way = 0; way < 2; ++way) // The votes before the election, and those of it.
    {
        all.deliver_to(quick);
        all.deliver_to(late);
        all.deliver_to(leader);
    }
    BOOST_REQUIRE((all.cores.at(leader).role() == consensus_role::leader));
    all.deliver_to(quick);
    all.deliver_to(leader); // Commits; what it sends the late one has no answer yet.
    all.deliver_to(quick);
    BOOST_TEST(all.cores.at(quick).is_current(all.now));
    all.deliver_to(late);
    all.deliver_to(leader);
    all.deliver_to(late);
    BOOST_TEST(all.cores.at(late).is_current(all.now));
    BOOST_TEST(all.cores.at(late).commit_index() == all.cores.at(leader).commit_index());
    // And then all is quiet until the next heartbeat.
    for (int way = 0; way < 3; ++way)
    {
        all.deliver_to(leader);
        all.deliver_to(quick);
        all.deliver_to(late);
    }
    BOOST_TEST(all.waiting.empty());
}

/** After a loss of all power five instances start at the same moment; the time until one leads is
    dark for everybody. Nobody may stand against another one. */
BOOST_AUTO_TEST_CASE(instances_that_start_at_the_same_moment_do_not_split_the_votes)
{
    constexpr duration way = std::chrono::milliseconds(2);
    constexpr duration most = std::chrono::milliseconds(60);
    group all(5);
    std::vector<instance_id> everybody;
    for (const auto& [identity, core] : all.cores)
    {
        everybody.push_back(identity);
    }
    const time_point began = all.now;
    const auto leads = [&all](instance_id which)
    {
        return all.cores.at(which).role() == consensus_role::leader;
    };
    while (std::none_of(everybody.begin(), everybody.end(), leads) && all.now - began < most * 4)
    {
        all.now += way;
        const std::vector<message> arriving = std::exchange(all.waiting, {});
        for (const instance_id which : everybody)
        {
            all.cores.at(which).tick(all.now);
            for (const message& value : arriving)
            {
                all.cores.at(which).receive(all.now, value);
            }
            all.drive(which);
        }
    }
    BOOST_TEST((all.now - began <= most));
    BOOST_TEST(all.cores.at(everybody.front()).term() == 2U); // One election only.
}

/** Two of five have lost their disks. As long as a successor votes beside the identity that is
   lost, four of six have to answer, which are all that are left: one lost segment of a connection
   then cost the leader its office (hfc-despacho-large, trouble-2). */
BOOST_AUTO_TEST_CASE(an_identity_whose_disk_was_lost_is_removed_before_its_successor_votes)
{
    group all(5);
    const instance_id leader = first_identity(1);
    const std::vector<instance_id> left = {leader, first_identity(2), first_identity(3)};
    all.now += std::chrono::milliseconds(70);
    all.cores.at(leader).tick(all.now);
    all.drive(leader);
    all.settle(left);
    BOOST_REQUIRE((all.cores.at(leader).role() == consensus_role::leader));
    voter_renewal renewal(0);
    const instance_id fourth = make_identity(4, 77);
    const instance_id fifth = make_identity(5, 77);
    for (const instance_id known : {left[0], left[1], left[2], fourth, fifth})
    {
        renewal.hear(slot_of(known), known);
    }
    for (std::size_t step = 0; step < 2; ++step)
    {
        BOOST_TEST(renewal.renew(all.now, all.cores.at(leader)));
        all.drive(leader);
        all.settle(left);
        BOOST_TEST(all.cores.at(leader).log().voters().size() == 4U - step);
    }
    BOOST_TEST(all.cores.at(leader).log().voters() == left);
    // Now one of the three may be slow, and what the successors answer counts once they have
    // learned.
    BOOST_TEST(!renewal.renew(all.now, all.cores.at(leader)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
