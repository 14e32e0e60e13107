/** @file
    The voters of the control cluster while machines are lost and replaced: what the cluster must
    bear by its tolerated losses, in all orders. Time is virtual.
*/
#include "membership_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace carawayshelf
{

using fakes::membership_simulation;

namespace
{

constexpr duration one_second = std::chrono::seconds(1);
constexpr duration recovery_time = std::chrono::seconds(12);

std::string join(const std::vector<std::size_t>& values)
{
    std::string joined;
    for (const std::size_t value : values)
    {
        joined += std::to_string(value) + " ";
    }
    return joined;
}

/** What happens to some instances of a cluster, each lost in its own way. */
struct losses
{
    std::vector<std::size_t> dark;  ///< Silent for a while; their disks stay.
    std::vector<std::size_t> wiped; ///< Their disks are lost.
};

/** All ways to pick a number of dark and of wiped instances. The first instance leads at first. */
std::vector<losses> all_losses(std::size_t instances, std::size_t count)
{
    std::vector<losses> all;
    for (unsigned dark = 0; dark < (1U << instances); ++dark)
    {
        for (unsigned wiped = 0; wiped < (1U << instances); ++wiped)
        {
            losses picked;
            for (std::size_t i = 0; i < instances; ++i)
            {
                if ((dark >> i & 1U) != 0)
                {
                    picked.dark.push_back(i);
                }
                if ((wiped >> i & 1U) != 0)
                {
                    picked.wiped.push_back(i);
                }
            }
            if ((dark & wiped) == 0 && picked.dark.size() == count && picked.wiped.size() == count)
            {
                all.push_back(picked);
            }
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

/** review/9: with two of five instances dark for more than 6 s, three voters were left, and the loss of
    two of these disks left no majority for good, although three disks were whole. */
BOOST_AUTO_TEST_CASE(tolerated_disks_can_be_lost_while_as_many_instances_are_dark)
{
    const struct
    {
        std::size_t instances;
        std::size_t tolerated;
        std::size_t lost;
    } clusters[] = {{5, 2, 2}, {5, 0, 2}, {3, 1, 1}, {3, 0, 1}, {5, 1, 1}};
    for (const auto& size : clusters)
    {
        for (const losses& picked : all_losses(size.instances, size.lost))
        {
            for (const duration dark_time : {one_second * 2, one_second * 9})
            {
                membership_simulation cluster(size.instances, size.tolerated);
                BOOST_REQUIRE(cluster.write(one_second));
                for (const std::size_t instance : picked.dark)
                {
                    cluster.silence(instance);
                }
                cluster.run(dark_time);
                BOOST_TEST(cluster.write(one_second));
                for (const std::size_t instance : picked.wiped)
                {
                    cluster.lose_disk(instance);
                }
                cluster.run(std::chrono::milliseconds(500));
                for (const std::size_t instance : picked.wiped)
                {
                    cluster.start(instance);
                }
                cluster.run(std::chrono::milliseconds(500));
                for (const std::size_t instance : picked.dark)
                {
                    cluster.start(instance);
                }
                cluster.run(recovery_time);
                BOOST_CHECK_MESSAGE(cluster.serves_all_written(),
                                    size.instances << " instances, dark " << join(picked.dark)
                                                   << "wiped " << join(picked.wiped));
                BOOST_TEST(cluster.voters().size() == size.instances);
            }
        }
    }
}

/** The same losses in the other order: first the disks, then the dark instances, at several times
    after the wiped ones have come back. */
BOOST_AUTO_TEST_CASE(instances_can_go_dark_after_tolerated_disks_were_lost)
{
    for (const losses& picked : all_losses(5, 2))
    {
        for (const int after_ms : {0, 300, 700, 1500})
        {
            membership_simulation cluster(5, 2);
            BOOST_REQUIRE(cluster.write(one_second));
            cluster.lose_disk(picked.wiped[0]);
            cluster.run(std::chrono::milliseconds(200));
            cluster.start(picked.wiped[0]);
            cluster.run(std::chrono::milliseconds(after_ms));
            cluster.silence(picked.dark[0]);
            cluster.write(one_second);
            cluster.lose_disk(picked.wiped[1]);
            cluster.silence(picked.dark[1]);
            cluster.run(one_second * 8);
            cluster.start(picked.wiped[1]);
            cluster.start(picked.dark[0]);
            cluster.start(picked.dark[1]);
            cluster.run(recovery_time);
            BOOST_CHECK_MESSAGE(cluster.serves_all_written(),
                                after_ms << " ms, dark " << join(picked.dark) << "wiped "
                                         << join(picked.wiped));
        }
    }
}

/** As many instances as are tolerated go for good. The others serve on, without successors and with
    them, and the successors take over the votes, so that the same number can be lost again. */
BOOST_AUTO_TEST_CASE(service_goes_on_after_tolerated_instances_are_lost_for_good)
{
    for (const bool is_stated : {true, false})
    {
        for (const std::size_t tolerated : {std::size_t{1}, std::size_t{2}})
        {
            const std::size_t size = 2 * tolerated + 1;
            membership_simulation cluster(size, is_stated ? tolerated : 0);
            for (int generation = 0; generation < 3; ++generation)
            {
                std::vector<std::size_t> lost = cluster.voters();
                lost.resize(tolerated);
                for (const std::size_t instance : lost)
                {
                    cluster.kill(instance);
                }
                cluster.run(one_second * 9);
                BOOST_TEST(cluster.voters().size() == size);
                BOOST_TEST(cluster.serves_all_written());
                for (std::size_t i = 0; i < tolerated; ++i)
                {
                    cluster.add();
                }
                cluster.run(one_second * 4);
                BOOST_TEST(cluster.serves_all_written());
                BOOST_TEST(cluster.voters().size() == size);
                for (const std::size_t instance : lost)
                {
                    const std::vector<std::size_t> voters = cluster.voters();
                    BOOST_TEST(std::count(voters.begin(), voters.end(), instance) == 0);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
