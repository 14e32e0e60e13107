/** @file
    The consensus core alone, message by message.
*/
#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace carawayshelf
{

namespace
{

/** Instances that have just started with the same log; messages wait until they are carried. */
struct test_cluster
{
    explicit test_cluster(instance_slot slots)
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
    void process_output(instance_id which)
    {
        consensus_core& core = cores.at(which);
        for (consensus_output output = core.take_output(); !output.is_empty();
             output = core.take_output())
        {
            core.persisted(now);
            in_flight.insert(in_flight.end(), output.messages.begin(), output.messages.end());
        }
    }

    /** Delivers what waits to one instance, and has it carry out what follows. */
    void deliver_to(instance_id which)
    {
        std::vector<message> others;
        for (const message& value : std::exchange(in_flight, {}))
        {
            value.to == which ? cores.at(which).receive(now, value) : others.push_back(value);
        }
        process_output(which);
        in_flight.insert(in_flight.end(), others.begin(), others.end());
    }

    /** Carries messages among these until none is left; what goes to others is lost. */
    void deliver_all(const std::vector<instance_id>& alive)
    {
        while (!in_flight.empty())
        {
            for (const instance_id which : alive)
            {
                deliver_to(which);
            }
            const auto is_lost = [&alive](const message& value)
            {
                return std::find(alive.begin(), alive.end(), value.to) == alive.end();
            };
            in_flight.erase(std::remove_if(in_flight.begin(), in_flight.end(), is_lost),
                            in_flight.end());
        }
    }

    time_point now{std::chrono::seconds(100)};
    std::map<instance_id, consensus_core> cores;
    std::vector<message> in_flight;
};

} // namespace

BOOST_AUTO_TEST_SUITE(consensus)

/** After a loss of all power each daemon has to wait until its instance is current, so a follower
    that answers after the others must not wait for the next heartbeat. */
BOOST_AUTO_TEST_CASE(a_late_follower_is_sent_the_commit_index_at_once)
{
    test_cluster cluster(3);
    const instance_id leader = first_identity(1);
    const instance_id fast_follower = first_identity(2);
    const instance_id late_follower = first_identity(3);
    cluster.now += std::chrono::milliseconds(70);
    cluster.cores.at(leader).tick(cluster.now);
    cluster.process_output(leader);
    for (int round = 0; round < 2; ++round) // The votes before the election, and those of it.
    {
        cluster.deliver_to(fast_follower);
        cluster.deliver_to(late_follower);
        cluster.deliver_to(leader);
    }
    BOOST_REQUIRE((cluster.cores.at(leader).role() == consensus_role::leader));
    cluster.deliver_to(fast_follower);
    cluster.deliver_to(leader); // Commits; what it sends the late one has no answer yet.
    cluster.deliver_to(fast_follower);
    BOOST_TEST(cluster.cores.at(fast_follower).is_current(cluster.now));
    cluster.deliver_to(late_follower);
    cluster.deliver_to(leader);
    cluster.deliver_to(late_follower);
    BOOST_TEST(cluster.cores.at(late_follower).is_current(cluster.now));
    BOOST_TEST(cluster.cores.at(late_follower).commit_index() ==
               cluster.cores.at(leader).commit_index());
    // And then all is quiet until the next heartbeat.
    for (int round = 0; round < 3; ++round)
    {
        cluster.deliver_to(leader);
        cluster.deliver_to(fast_follower);
        cluster.deliver_to(late_follower);
    }
    BOOST_TEST(cluster.in_flight.empty());
}

/** After a loss of all power five instances start at the same moment; the time until one leads is
    dark for everybody. Nobody may stand against another one. */
BOOST_AUTO_TEST_CASE(instances_that_start_simultaneously_do_not_split_the_vote)
{
    constexpr duration one_way_delay = std::chrono::milliseconds(2);
    constexpr duration max_election_time = std::chrono::milliseconds(60);
    test_cluster cluster(5);
    std::vector<instance_id> identities;
    for (const auto& [identity, core] : cluster.cores)
    {
        identities.push_back(identity);
    }
    const time_point started_at = cluster.now;
    const auto is_leader = [&cluster](instance_id which)
    {
        return cluster.cores.at(which).role() == consensus_role::leader;
    };
    while (std::none_of(identities.begin(), identities.end(), is_leader) &&
           cluster.now - started_at < max_election_time * 4)
    {
        cluster.now += one_way_delay;
        const std::vector<message> arriving = std::exchange(cluster.in_flight, {});
        for (const instance_id which : identities)
        {
            cluster.cores.at(which).tick(cluster.now);
            for (const message& value : arriving)
            {
                cluster.cores.at(which).receive(cluster.now, value);
            }
            cluster.process_output(which);
        }
    }
    BOOST_TEST((cluster.now - started_at <= max_election_time));
    BOOST_TEST(cluster.cores.at(identities.front()).term() == 2U); // One election only.
}

/** Two of five have lost their disks. As long as a successor votes beside the identity that is
   lost, four of six have to answer, which are all that are left: one lost segment of a connection
   then cost the leader its office (hfc-despacho-large, trouble-2). */
BOOST_AUTO_TEST_CASE(a_lost_identity_is_removed_before_its_replacement_votes)
{
    test_cluster cluster(5);
    const instance_id leader = first_identity(1);
    const std::vector<instance_id> remaining = {leader, first_identity(2), first_identity(3)};
    cluster.now += std::chrono::milliseconds(70);
    cluster.cores.at(leader).tick(cluster.now);
    cluster.process_output(leader);
    cluster.deliver_all(remaining);
    BOOST_REQUIRE((cluster.cores.at(leader).role() == consensus_role::leader));
    membership_manager manager(0);
    const instance_id fourth = make_identity(4, 77);
    const instance_id fifth = make_identity(5, 77);
    for (const instance_id known : {remaining[0], remaining[1], remaining[2], fourth, fifth})
    {
        manager.set_identity(slot_of(known), known);
    }
    for (std::size_t step = 0; step < 2; ++step)
    {
        BOOST_TEST(manager.propose_next_change(cluster.now, cluster.cores.at(leader)));
        cluster.process_output(leader);
        cluster.deliver_all(remaining);
        BOOST_TEST(cluster.cores.at(leader).log().voters().size() == 4U - step);
    }
    BOOST_TEST(cluster.cores.at(leader).log().voters() == remaining);
    // Now one of the three may be slow, and what the successors answer counts once they have
    // learned.
    BOOST_TEST(!manager.propose_next_change(cluster.now, cluster.cores.at(leader)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
