/** @file
    The consensus core without storage and network, message by message.
*/
#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace carawayshelf
{

namespace
{

/** Instances that have just started with the same log. Messages stay in `in_flight` until they are
    delivered. */
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

    /** Carries out the output of an instance and puts its messages in flight.
        @param confirmed  where to add the confirmed reads, if they are of interest */
    void process_output(instance_id instance, std::vector<read_id>* confirmed = nullptr)
    {
        consensus_core& core = cores.at(instance);
        for (consensus_output output = core.take_output(); !output.is_empty();
             output = core.take_output())
        {
            core.persisted(now);
            for (message& value : output.messages)
            {
                value.counts_losses = value.counts_losses && instance != old_build;
                in_flight.push_back(value);
            }
            if (confirmed != nullptr)
            {
                confirmed->insert(confirmed->end(), output.confirmed_reads.begin(),
                                  output.confirmed_reads.end());
            }
        }
    }

    /** Delivers the messages in flight to one instance, and processes its output. */
    void deliver_to(instance_id instance)
    {
        std::vector<message> others;
        for (const message& value : std::exchange(in_flight, {}))
        {
            value.to == instance ? cores.at(instance).receive(now, value) : others.push_back(value);
        }
        process_output(instance);
        in_flight.insert(in_flight.end(), others.begin(), others.end());
    }

    /** Delivers messages among these instances until none is in flight. Drops messages to others.
     */
    void deliver_all(const std::vector<instance_id>& alive)
    {
        while (!in_flight.empty())
        {
            for (const instance_id instance : alive)
            {
                deliver_to(instance);
            }
            const auto is_lost = [&alive](const message& value)
            {
                return std::find(alive.begin(), alive.end(), value.to) == alive.end();
            };
            in_flight.erase(std::remove_if(in_flight.begin(), in_flight.end(), is_lost),
                            in_flight.end());
        }
    }

    /** Starts an instance with an empty data folder. */
    void start_new(instance_id identity)
    {
        stored_state stored;
        stored.identity = identity;
        cores.emplace(identity, consensus_core(consensus_settings{}, stored, identity, now));
    }

    /** Lets the first instance become the leader. */
    void elect_first(const std::vector<instance_id>& alive)
    {
        now += std::chrono::milliseconds(70);
        cores.at(first_identity(1)).tick(now);
        process_output(first_identity(1));
        deliver_all(alive);
    }

    /** Runs the instances that are alive, and the membership manager of the leader, as
        control_server does. */
    void run(duration span, const std::vector<instance_id>& alive, membership_manager& manager)
    {
        constexpr duration tick_interval = std::chrono::milliseconds(10);
        constexpr int ticks_per_proposal = 25;
        const time_point end = now + span;
        for (int tick = 1; now < end; ++tick)
        {
            now += tick_interval;
            for (const instance_id instance : alive)
            {
                cores.at(instance).tick(now);
                process_output(instance);
            }
            deliver_all(alive);
            if (tick % ticks_per_proposal == 0)
            {
                manager.propose_next_change(now, cores.at(first_identity(1)));
                process_output(first_identity(1));
                deliver_all(alive);
            }
        }
    }

    /** Runs the instances that are alive, without changes of the voters. */
    void run_without_changes(duration span, const std::vector<instance_id>& alive)
    {
        for (const time_point end = now + span; now < end;)
        {
            now += std::chrono::milliseconds(10);
            for (const instance_id instance : alive)
            {
                cores.at(instance).tick(now);
                process_output(instance);
            }
            deliver_all(alive);
        }
    }

    time_point now{std::chrono::seconds(100)};
    instance_id old_build = 0; ///< An instance whose build doesn't count losses, or none.
    std::map<instance_id, consensus_core> cores;
    std::vector<message> in_flight;
};

} // namespace

BOOST_AUTO_TEST_SUITE(consensus)

/** After a power failure of the whole cluster each daemon waits until its control instance is
    current. A follower whose reply arrives after the commit must therefore get the commit index at
    once, not with the next heartbeat. */
BOOST_AUTO_TEST_CASE(a_late_follower_is_sent_the_commit_index_at_once)
{
    test_cluster cluster(3);
    const instance_id leader = first_identity(1);
    const instance_id fast_follower = first_identity(2);
    const instance_id late_follower = first_identity(3);
    cluster.now += std::chrono::milliseconds(70);
    cluster.cores.at(leader).tick(cluster.now);
    cluster.process_output(leader);
    for (int round = 0; round < 2; ++round) // Pre-vote, then vote.
    {
        cluster.deliver_to(fast_follower);
        cluster.deliver_to(late_follower);
        cluster.deliver_to(leader);
    }
    BOOST_REQUIRE((cluster.cores.at(leader).role() == consensus_role::leader));
    cluster.deliver_to(fast_follower);
    cluster.deliver_to(leader); // Commits; the late follower has not replied yet.
    cluster.deliver_to(fast_follower);
    BOOST_TEST(cluster.cores.at(fast_follower).is_current(cluster.now));
    cluster.deliver_to(late_follower);
    cluster.deliver_to(leader);
    cluster.deliver_to(late_follower);
    BOOST_TEST(cluster.cores.at(late_follower).is_current(cluster.now));
    BOOST_TEST(cluster.cores.at(late_follower).commit_index() ==
               cluster.cores.at(leader).commit_index());
    // No more messages follow until the next heartbeat.
    for (int round = 0; round < 3; ++round)
    {
        cluster.deliver_to(leader);
        cluster.deliver_to(fast_follower);
        cluster.deliver_to(late_follower);
    }
    BOOST_TEST(cluster.in_flight.empty());
}

/** After a power failure of the whole cluster five instances start at the same moment. There is no
    service until a leader is elected, so the first election must succeed. */
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
    const auto is_leader = [&cluster](instance_id instance)
    {
        return cluster.cores.at(instance).role() == consensus_role::leader;
    };
    while (std::none_of(identities.begin(), identities.end(), is_leader) &&
           cluster.now - started_at < max_election_time * 4)
    {
        cluster.now += one_way_delay;
        const std::vector<message> arriving = std::exchange(cluster.in_flight, {});
        for (const instance_id instance : identities)
        {
            cluster.cores.at(instance).tick(cluster.now);
            for (const message& value : arriving)
            {
                cluster.cores.at(instance).receive(cluster.now, value);
            }
            cluster.process_output(instance);
        }
    }
    BOOST_TEST((cluster.now - started_at <= max_election_time));
    BOOST_TEST(cluster.cores.at(identities.front()).term() == 2U); // The first election succeeded.
}

/** Two of five instances have lost their disks. If a replacement became a voter before the lost
    identity is removed, four of six voters would have to answer, and only four can: a single lost
    TCP segment then made the leader step down (seen in hfc-despacho-large, trouble-2). */
BOOST_AUTO_TEST_CASE(a_lost_identity_is_removed_before_its_replacement_votes)
{
    test_cluster cluster(5);
    const instance_id leader = first_identity(1);
    const std::vector<instance_id> remaining = {leader, first_identity(2), first_identity(3)};
    cluster.elect_first(remaining);
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
    // One of the three may now be slow. The replacements become voters only once caught up.
    BOOST_TEST(!manager.propose_next_change(cluster.now, cluster.cores.at(leader)));
}

/** A lost instance that was replaced by one in another slot stayed a voter for 6 s. When another
    one lost its disk meanwhile, the two that remained were no majority of four for good. */
BOOST_AUTO_TEST_CASE(another_instance_can_be_lost_once_the_successor_of_a_lost_one_has_caught_up)
{
    constexpr duration catch_up_time = std::chrono::seconds(4);
    for (const duration start_after : {duration(0), duration(std::chrono::seconds(1))})
    {
        test_cluster cluster(3);
        const instance_id leader = first_identity(1);
        const instance_id second = first_identity(2);
        const instance_id lost = first_identity(3);
        const instance_id successor = make_identity(4, 77);
        membership_manager manager(0);
        for (const instance_id known : {leader, second, lost})
        {
            manager.set_identity(slot_of(known), known);
        }
        cluster.elect_first({leader, second, lost});
        BOOST_REQUIRE((cluster.cores.at(leader).role() == consensus_role::leader));
        cluster.run(std::chrono::seconds(1), {leader, second, lost}, manager);
        manager.clear_identity(slot_of(lost));
        cluster.run(start_after, {leader, second}, manager);
        cluster.start_new(successor);
        manager.set_identity(slot_of(successor), successor);
        cluster.run(catch_up_time, {leader, second, successor}, manager);
        const std::vector<instance_id> expected = {leader, second, successor};
        BOOST_TEST(cluster.cores.at(leader).log().voters() == expected);
        BOOST_TEST(manager.is_safe_to_lose_one(cluster.now, cluster.cores.at(leader)));
        // The second one loses its disk.
        const std::optional<log_index> index =
            cluster.cores.at(leader).propose(cluster.now, "a change");
        cluster.process_output(leader);
        cluster.run(std::chrono::seconds(1), {leader, successor}, manager);
        BOOST_REQUIRE(index.has_value());
        BOOST_TEST(cluster.cores.at(leader).commit_index() >= *index);
    }
}

/** The leader still knows the match index of a voter that it has removed, and its connection may
    seem open for seconds: neither makes it a voter again before it answers. */
BOOST_AUTO_TEST_CASE(a_removed_voter_does_not_vote_again_before_it_answers)
{
    test_cluster cluster(3);
    const instance_id leader = first_identity(1);
    const instance_id second = first_identity(2);
    const instance_id silent = first_identity(3);
    const instance_id added = make_identity(4, 77);
    membership_manager manager(0);
    for (const instance_id known : {leader, second, silent, added})
    {
        manager.set_identity(slot_of(known), known);
    }
    cluster.elect_first({leader, second, silent});
    cluster.start_new(added);
    cluster.run(std::chrono::seconds(2), {leader, second, silent, added}, manager);
    BOOST_TEST(cluster.cores.at(leader).log().voters().size() == 4U);
    const std::vector<instance_id> without_silent = {leader, second, added};
    cluster.run(std::chrono::seconds(3), without_silent, manager);
    for (int i = 0; i < 8; ++i)
    {
        cluster.run(std::chrono::milliseconds(250), without_silent, manager);
        BOOST_TEST(cluster.cores.at(leader).log().voters() == without_silent);
    }
    cluster.run(std::chrono::seconds(1), {leader, second, silent, added}, manager);
    BOOST_TEST(cluster.cores.at(leader).log().voters().size() == 4U);
}

/** Two of five instances are cut off and come back, as in a split of the control instances. If they
    were removed, the loss of two other disks would lose records that two of three voters hold. */
BOOST_AUTO_TEST_CASE(silent_voters_without_a_successor_stay_voters_for_seconds)
{
    for (const bool is_leader_elected_before : {true, false})
    {
        test_cluster cluster(5);
        std::vector<instance_id> all;
        membership_manager manager(0);
        for (instance_slot slot = 1; slot <= 5; ++slot)
        {
            all.push_back(first_identity(slot));
            manager.set_identity(slot, all.back());
        }
        const std::vector<instance_id> others(all.begin(), all.end() - 2);
        cluster.elect_first(is_leader_elected_before ? all : others);
        cluster.run(std::chrono::seconds(1), is_leader_elected_before ? all : others, manager);
        cluster.run(std::chrono::seconds(4), others, manager);
        cluster.run(std::chrono::seconds(1), all, manager);
        BOOST_TEST(cluster.cores.at(all.front()).log().voters() == all);
    }
}

/** Two of five instances are lost and replaced: two more can be lost once the successors have
    caught up, also if their predecessors were lost before the leader was elected. */
BOOST_AUTO_TEST_CASE(two_lost_voters_of_five_are_removed_once_their_successors_vote)
{
    test_cluster cluster(5);
    const std::vector<instance_id> remaining = {first_identity(1), first_identity(2),
                                                first_identity(3)};
    membership_manager manager(0);
    for (const instance_id known : remaining)
    {
        manager.set_identity(slot_of(known), known);
    }
    cluster.elect_first(remaining);
    std::vector<instance_id> alive = remaining;
    for (const instance_slot slot : {6U, 7U})
    {
        alive.push_back(make_identity(slot, 77));
        cluster.start_new(alive.back());
        manager.set_identity(slot, alive.back());
    }
    cluster.run(std::chrono::seconds(4), alive, manager);
    BOOST_TEST(cluster.cores.at(remaining.front()).log().voters() == alive);
}

/** The first two of four voters are gone, one of them with its disk; the others know of that loss
    or don't. */
BOOST_AUTO_TEST_CASE(half_of_the_voters_serve_only_once_they_know_of_a_loss)
{
    test_cluster cluster(4);
    const std::vector<instance_id> all = {first_identity(1), first_identity(2), first_identity(3),
                                          first_identity(4)};
    const std::vector<instance_id> alive = {all[2], all[3]};
    cluster.elect_first(all);
    cluster.run_without_changes(std::chrono::seconds(1), all);
    BOOST_REQUIRE(cluster.cores.at(all[2]).log().newest_voters().counts_losses);
    const auto has_leader = [&]
    {
        return cluster.cores.at(all[2]).is_current(cluster.now) &&
               cluster.cores.at(all[3]).is_current(cluster.now);
    };
    cluster.run_without_changes(std::chrono::seconds(3), alive);
    BOOST_TEST(!has_leader());
    // One that knows is enough: its candidacy tells the other one.
    cluster.cores.at(all[2]).note_loss(all[1]);
    cluster.run_without_changes(std::chrono::seconds(3), alive);
    BOOST_TEST(has_leader());
    const bool is_first = cluster.cores.at(all[2]).role() == consensus_role::leader;
    consensus_core& leader = cluster.cores.at(is_first ? all[2] : all[3]);
    const std::optional<log_index> index = leader.propose(cluster.now, "payload");
    BOOST_REQUIRE(index);
    const read_id read = leader.request_read(cluster.now);
    std::vector<read_id> confirmed;
    for (int tick = 0; tick < 20; ++tick)
    {
        cluster.now += std::chrono::milliseconds(10);
        leader.tick(cluster.now);
        cluster.process_output(leader.identity(), &confirmed);
        cluster.deliver_to(is_first ? all[3] : all[2]);
        for (const message& value : std::exchange(cluster.in_flight, {}))
        {
            leader.receive(cluster.now, value);
        }
    }
    BOOST_TEST(leader.commit_index() >= *index);
    BOOST_TEST(std::count(confirmed.begin(), confirmed.end(), read) == 1);
}

/** Guards against a split during an update: voters whose build doesn't count losses decide changes
    without the old voters. */
BOOST_AUTO_TEST_CASE(losses_count_only_once_the_builds_of_all_voters_count_them)
{
    for (const bool is_updated : {false, true})
    {
        test_cluster cluster(4);
        std::vector<instance_id> all;
        for (instance_slot slot = 1; slot <= 4; ++slot)
        {
            all.push_back(first_identity(slot));
        }
        cluster.old_build = is_updated ? 0 : all[3];
        cluster.elect_first(all);
        cluster.run_without_changes(std::chrono::seconds(1), all);
        for (const instance_id instance : all)
        {
            BOOST_TEST(cluster.cores.at(instance).log().newest_voters().counts_losses ==
                       is_updated);
        }
    }
}

/** Guards against two quorums if the disk of a lost identity comes back. */
BOOST_AUTO_TEST_CASE(a_lost_identity_gets_no_vote)
{
    test_cluster cluster(3);
    const std::vector<instance_id> all = {first_identity(1), first_identity(2), first_identity(3)};
    cluster.cores.at(all[1]).note_loss(all[0]);
    cluster.cores.at(all[2]).note_loss(all[0]);
    cluster.elect_first(all);
    BOOST_TEST((cluster.cores.at(all[0]).role() != consensus_role::leader));
    cluster.run_without_changes(std::chrono::seconds(2), all);
    BOOST_TEST((cluster.cores.at(all[0]).role() != consensus_role::leader));
    BOOST_TEST(cluster.cores.at(all[1]).has_active_leader(cluster.now));
}

/** Guards against a change that is committed by the new voters alone: old voters that don't know it
    and a known loss could decide beside them. */
BOOST_AUTO_TEST_CASE(a_change_of_voters_takes_a_quorum_of_the_old_ones_as_well)
{
    test_cluster cluster(4);
    std::vector<instance_id> all;
    for (instance_slot slot = 1; slot <= 4; ++slot)
    {
        all.push_back(first_identity(slot));
    }
    cluster.elect_first(all);
    cluster.run_without_changes(std::chrono::seconds(1), all);
    const std::vector<instance_id> remaining = {all[0], all[1], all[3]};
    consensus_core& leader = cluster.cores.at(all[0]);
    BOOST_REQUIRE(leader.propose_voters(cluster.now, remaining));
    const log_index proposed = leader.log().voters_index();
    cluster.process_output(all[0]);
    cluster.deliver_all({all[0], all[1]}); // Two of three new voters, two of four old ones.
    BOOST_TEST(leader.commit_index() < proposed);
    BOOST_TEST((leader.deciding_voters().size() == 4U));
    cluster.run_without_changes(std::chrono::seconds(1), {all[0], all[1], all[3]});
    BOOST_TEST(cluster.cores.at(all[1]).deciding_voters() == remaining);
    BOOST_TEST(cluster.cores.at(all[1]).log().newest_voters().counts_losses);
}

/** A leader removes a voter, and loses its disk when only that voter has the record. The voter's
    log is the newest, so that the others, which count it as a voter still, can't win without its
    vote. It has to start the election itself, or the cluster has no leader for good (control
    histories, seed 17100, with a leader that removes itself). */
BOOST_AUTO_TEST_CASE(a_removed_voter_that_alone_has_the_record_can_be_elected)
{
    for (const bool leader_removes_itself : {false, true})
    {
        test_cluster cluster(4);
        std::vector<instance_id> all;
        for (instance_slot slot = 1; slot <= 4; ++slot)
        {
            all.push_back(first_identity(slot));
        }
        cluster.elect_first(all);
        const instance_id leader = all[0];
        const instance_id removed = leader_removes_itself ? leader : all[3];
        const instance_id lost = leader_removes_itself ? all[3] : leader;
        std::vector<instance_id> remaining = all;
        remaining.erase(std::find(remaining.begin(), remaining.end(), removed));
        BOOST_REQUIRE(cluster.cores.at(leader).propose_voters(cluster.now, remaining));
        cluster.process_output(leader);
        if (!leader_removes_itself)
        {
            cluster.deliver_to(removed);
        }
        cluster.in_flight.clear();
        std::vector<instance_id> alive = all;
        alive.erase(std::find(alive.begin(), alive.end(), lost));
        const instance_id voter = all[1];
        for (int tick = 0; tick < 500; ++tick)
        {
            cluster.now += std::chrono::milliseconds(10);
            for (const instance_id instance : alive)
            {
                cluster.cores.at(instance).tick(cluster.now);
                cluster.process_output(instance);
            }
            cluster.deliver_all(alive);
        }
        BOOST_TEST(cluster.cores.at(voter).has_active_leader(cluster.now));
        BOOST_TEST(cluster.cores.at(voter).log().voters() == remaining);
        BOOST_TEST(cluster.cores.at(voter).commit_index() >=
                   cluster.cores.at(voter).log().voters_index());
        BOOST_TEST((cluster.cores.at(removed).role() != consensus_role::leader));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
