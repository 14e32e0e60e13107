/** @file
    What a control instance sends its daemons, and when: changes gathered, and one encoding for all
    daemons that hold the same.
*/
#include "carawayshelf_io/encoded_updates.hpp"
#include "carawayshelf_io/instance_patience.hpp"
#include "carawayshelf_io/instance_rotation.hpp"
#include "carawayshelf_io/update_gatherer.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace carawayshelf
{

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(control_updates)

BOOST_AUTO_TEST_CASE(the_first_change_goes_out_at_once_and_those_after_it_together)
{
    update_gatherer gatherer;
    BOOST_TEST(!gatherer.take_due(start, true));
    gatherer.note_change();
    BOOST_TEST(gatherer.take_due(start, true));
    gatherer.note_change();
    gatherer.note_change();
    BOOST_TEST(!gatherer.take_due(start + update_gatherer::gather_time / 2, true));
    BOOST_TEST(gatherer.take_due(start + update_gatherer::gather_time, true));
    BOOST_TEST(!gatherer.take_due(start + update_gatherer::gather_time * 3, true));
}

/** After an outage daemons subscribe before the instance has heard of a leader; what waits for that
    must not wait for the gather time, too. */
BOOST_AUTO_TEST_CASE(what_could_not_be_sent_goes_out_as_soon_as_it_can)
{
    update_gatherer gatherer;
    gatherer.note_change();
    BOOST_TEST(!gatherer.take_due(start, false));
    BOOST_TEST(!gatherer.take_due(start + std::chrono::milliseconds(10), false));
    BOOST_TEST(gatherer.take_due(start + std::chrono::milliseconds(20), true));
}

BOOST_AUTO_TEST_CASE(daemons_that_hold_the_same_cost_one_encoding)
{
    encoded_updates updates;
    std::size_t encodings = 0;
    const auto encode = [&encodings]
    {
        ++encodings;
        return std::string("update ") + std::to_string(encodings);
    };
    for (int daemon = 0; daemon < 300; ++daemon)
    {
        BOOST_TEST(*updates.get({7, 1}, 0, "", encode) == "update 1");
    }
    BOOST_TEST(encodings == 1U);
    updates.get({7, 1}, 6, "", encode);
    updates.get({7, 1}, 0, "despacho", encode);
    BOOST_TEST(encodings == 3U);
    BOOST_TEST(updates.size() == 3U);
}

BOOST_AUTO_TEST_CASE(an_encoding_is_not_used_for_another_state)
{
    encoded_updates updates;
    const auto first = []
    {
        return std::string("first");
    };
    const auto second = []
    {
        return std::string("second");
    };
    updates.get({7, 1}, 0, "", first);
    BOOST_TEST(*updates.get({8, 1}, 0, "", second) == "second");
    BOOST_TEST(updates.size() == 1U);
    updates.get({8, 1}, 7, "", first);
    // Other control instances: the same state, but other addresses in the update.
    BOOST_TEST(*updates.get({8, 2}, 7, "", second) == "second");
    updates.clear();
    BOOST_TEST(updates.size() == 0U);
}

BOOST_AUTO_TEST_CASE(instances_that_are_out_of_touch_get_more_time_one_after_the_other)
{
    instance_patience patience;
    BOOST_TEST((patience.limit() == instance_patience::shortest));
    duration total{0};
    for (int tried = 0; tried < 10; ++tried)
    {
        total += patience.limit();
        patience.note_tried();
    }
    BOOST_TEST((patience.limit() == instance_patience::longest));
    // 10,000 daemons at 9 instances: fewer than 1,000 attempts a second at each.
    BOOST_TEST((total > std::chrono::seconds(8)));
    patience.note_in_touch();
    BOOST_TEST((patience.limit() == instance_patience::shortest));
}

BOOST_AUTO_TEST_CASE(no_instance_is_tried_again_before_all_others_were)
{
    const auto instance = [](std::uint32_t number)
    {
        return endpoint{0x0A000000 + number, 7000};
    };
    for (std::uint32_t seed = 0; seed < 50; ++seed)
    {
        instance_rotation rotation({instance(1), instance(2), instance(3)}, seed);
        // Each instance that is tried tells of all of them, in its own order.
        std::set<endpoint> tried;
        for (std::uint32_t i = 0; i < 5; ++i)
        {
            const endpoint now = rotation.next();
            BOOST_TEST(tried.insert(now).second);
            rotation.learn({instance(5), instance(4), instance(3), instance(1)});
        }
        rotation.learn({instance(1)});
        std::set<endpoint> left;
        for (std::uint32_t i = 0; i < 3; ++i)
        {
            left.insert(rotation.next());
        }
        BOOST_TEST((left == std::set<endpoint>{instance(1), instance(2), instance(3)}));
    }
}

BOOST_AUTO_TEST_CASE(daemons_begin_at_different_instances)
{
    std::map<endpoint, int> first;
    for (std::uint32_t seed = 0; seed < 300; ++seed)
    {
        instance_rotation rotation({{1, 7000}, {2, 7000}, {3, 7000}}, seed);
        ++first[rotation.next()];
    }
    BOOST_TEST(first.size() == 3U);
    for (const auto& [instance, count] : first)
    {
        BOOST_TEST(count > 60);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
