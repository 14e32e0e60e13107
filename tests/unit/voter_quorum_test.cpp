/** @file
    Which instances are a quorum of the voters, by the losses that they knew of when they agreed.
*/
#include "carawayshelf_consensus/voter_quorum.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace carawayshelf
{

namespace
{

voter_list voters_up_to(instance_id last, bool counts_losses = true)
{
    voter_list list;
    for (instance_id voter = 1; voter <= last; ++voter)
    {
        list.voters.push_back(voter);
    }
    list.counts_losses = counts_losses;
    return list;
}

/** A random history in which each voter agrees to one of two things, loses its disk or learns of a
    loss. Returns whether both got a quorum.
    @param counts_later_losses  a fault: whether losses count that a voter didn't know of when it
                                agreed */
bool both_get_a_quorum(std::uint32_t seed, bool counts_later_losses)
{
    std::mt19937 random(seed);
    const voter_list list = voters_up_to(2 + random() % 5);
    const std::size_t size = list.voters.size();
    std::set<instance_id> lost;
    std::array<agreement, 2> agreeing;
    std::map<instance_id, std::set<instance_id>> known;
    for (std::size_t step = 0; step < size * 6; ++step)
    {
        const instance_id voter = list.voters[random() % size];
        const instance_id other = list.voters[random() % size];
        if (lost.count(voter) != 0)
        {
            continue;
        }
        switch (random() % 4)
        {
        case 0:
            lost.insert(voter);
            break;
        case 1:
            if (lost.count(other) != 0)
            {
                known[voter].insert(other);
            }
            break;
        default:
        {
            const std::size_t first = random() % 2;
            // A voter may repeat what it agreed to, but not agree to both.
            const std::size_t chosen = agreeing[1 - first].count(voter) != 0 ? 1 - first : first;
            agreeing[chosen][voter] = known[voter];
            break;
        }
        }
    }
    for (agreement& side : agreeing)
    {
        for (auto& [voter, losses] : side)
        {
            losses = counts_later_losses ? lost : losses;
            losses.erase(voter);
        }
    }
    return is_quorum_of(list, agreeing[0]) && is_quorum_of(list, agreeing[1]);
}

std::size_t count_splits(bool counts_later_losses)
{
    std::size_t splits = 0;
    for (std::uint32_t seed = 1; seed <= 200000; ++seed)
    {
        splits += both_get_a_quorum(seed, counts_later_losses) ? 1U : 0U;
    }
    return splits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(voter_quorum)

BOOST_AUTO_TEST_CASE(more_than_half_of_the_voters_are_a_quorum)
{
    BOOST_TEST(!is_quorum_of({}, {{1, {}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(1), {{1, {}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(3), {{1, {}}, {7, {}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(3), {{1, {}}, {3, {}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(4), {{1, {}}, {3, {}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(4), {{1, {}}, {2, {}}, {3, {}}}));
}

/** Guards against a control cluster that ends with one voter gone and another one lost of four
    (review/13). */
BOOST_AUTO_TEST_CASE(half_of_the_voters_are_a_quorum_if_each_knows_the_same_loss)
{
    BOOST_TEST(is_quorum_of(voters_up_to(4), {{3, {2}}, {4, {2}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(4), {{3, {1, 2}}, {4, {2, 9}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(6), {{4, {2}}, {5, {2, 3}}, {6, {2}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(2), {{1, {2}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(4), {{3, {2}}, {4, {}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(4), {{3, {2}}, {4, {1}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(4), {{3, {9}}, {4, {9}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(4), {{2, {}}, {3, {2}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(4), {{4, {1, 2, 3}}}));
}

/** The others must not rely on voters whose build doesn't count losses. */
BOOST_AUTO_TEST_CASE(half_of_voters_that_don_t_count_losses_are_no_quorum)
{
    BOOST_TEST(!is_quorum_of(voters_up_to(4, false), {{3, {2}}, {4, {2}}}));
    BOOST_TEST(is_quorum_of(voters_up_to(4, false), {{1, {}}, {3, {}}, {4, {}}}));
}

/** One lost disk of an odd number leaves more than half of the voters; two are more than the
    cluster bears. */
BOOST_AUTO_TEST_CASE(losses_don_t_matter_with_an_odd_number_of_voters)
{
    BOOST_TEST(!is_quorum_of(voters_up_to(3), {{3, {1, 2}}}));
    BOOST_TEST(!is_quorum_of(voters_up_to(5), {{4, {1, 2, 3}}, {5, {1, 2, 3}}}));
}

BOOST_AUTO_TEST_CASE(no_history_has_two_quorums_without_a_common_member)
{
    BOOST_TEST(count_splits(false) == 0U);
    BOOST_TEST(count_splits(true) != 0U); // Shows that the histories could find a split.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
