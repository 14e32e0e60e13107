/** @file
    The order fence of the leader: which requests it admits after others.
*/
#include "carawayshelf_consensus/order_fence.hpp"

#include <boost/test/unit_test.hpp>

namespace carawayshelf
{

BOOST_AUTO_TEST_SUITE(order_fences)

BOOST_AUTO_TEST_CASE(a_request_is_admitted_until_another_one_about_its_subject_was_proposed)
{
    order_fence fence;
    BOOST_TEST(fence.admits(2, "a", {2, 10}));
    fence.note({2, 11}, "a");
    BOOST_TEST(!fence.admits(2, "a", {2, 10}));
    BOOST_TEST(fence.admits(2, "a", {2, 11}));
    BOOST_TEST(fence.admits(2, "b", {2, 10}));
}

BOOST_AUTO_TEST_CASE(a_position_of_another_term_is_not_admitted)
{
    order_fence fence;
    BOOST_TEST(!fence.admits(3, "a", {2, 10}));
    fence.note({3, 11}, "a");
    BOOST_TEST(!fence.admits(3, "a", {2, 20}));
    BOOST_TEST(!fence.admits(3, "a", {4, 20}));
    BOOST_TEST(!fence.admits(4, "a", {3, 20}));
}

/** A leader that is elected again has proposed nothing in its new term. */
BOOST_AUTO_TEST_CASE(requests_of_earlier_terms_are_forgotten)
{
    order_fence fence;
    fence.note({3, 11}, "a");
    BOOST_TEST(fence.admits(5, "a", {5, 10}));
    fence.note({5, 12}, "b");
    BOOST_TEST(fence.admits(5, "a", {5, 10}));
    BOOST_TEST(!fence.admits(5, "b", {5, 10}));
}

BOOST_AUTO_TEST_CASE(subjects_beyond_the_limit_share_one_position)
{
    order_fence fence;
    for (std::size_t i = 0; i <= order_fence::max_subjects; ++i)
    {
        fence.note({1, i + 1}, std::to_string(i));
    }
    BOOST_TEST(!fence.admits(1, "0", {1, order_fence::max_subjects - 1}));
    BOOST_TEST(!fence.admits(1, "unknown", {1, order_fence::max_subjects - 1}));
    BOOST_TEST(fence.admits(1, "0", {1, order_fence::max_subjects}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
