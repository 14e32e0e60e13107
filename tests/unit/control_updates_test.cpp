/** @file
    When a control instance sends updates to its daemons, how encoded updates are cached, and in
    which order and with which timeout daemons try the control instances.
*/
#include "carawayshelf_io/confirmation_timeout.hpp"
#include "carawayshelf_io/encoded_update_cache.hpp"
#include "carawayshelf_io/instance_rotation.hpp"
#include "carawayshelf_io/update_batcher.hpp"

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

BOOST_AUTO_TEST_CASE(the_first_change_is_sent_at_once_and_later_ones_in_one_batch)
{
    update_batcher batcher;
    BOOST_TEST(!batcher.take_due(start, true));
    batcher.note_change();
    BOOST_TEST(batcher.take_due(start, true));
    batcher.note_change();
    batcher.note_change();
    BOOST_TEST(!batcher.take_due(start + update_batcher::batch_interval / 2, true));
    BOOST_TEST(batcher.take_due(start + update_batcher::batch_interval, true));
    BOOST_TEST(!batcher.take_due(start + update_batcher::batch_interval * 3, true));
}

/** After an outage daemons subscribe before the instance has contact with a leader. An update that
    was delayed by this must not also wait for the batch interval. */
BOOST_AUTO_TEST_CASE(a_delayed_change_is_sent_as_soon_as_sending_is_allowed)
{
    update_batcher batcher;
    batcher.note_change();
    BOOST_TEST(!batcher.take_due(start, false));
    BOOST_TEST(!batcher.take_due(start + std::chrono::milliseconds(10), false));
    BOOST_TEST(batcher.take_due(start + std::chrono::milliseconds(20), true));
}

BOOST_AUTO_TEST_CASE(daemons_with_the_same_generation_share_one_encoding)
{
    encoded_update_cache updates;
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

BOOST_AUTO_TEST_CASE(a_cached_encoding_is_not_used_for_another_state)
{
    encoded_update_cache updates;
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
    // The voters changed: same state, but the update lists other control instances.
    BOOST_TEST(*updates.get({8, 2}, 7, "", second) == "second");
    updates.clear();
    BOOST_TEST(updates.size() == 0U);
}

BOOST_AUTO_TEST_CASE(the_confirmation_timeout_doubles_with_each_unconfirmed_instance)
{
    confirmation_timeout timeout;
    BOOST_TEST((timeout.current() == confirmation_timeout::min_timeout));
    duration total{0};
    for (int tried = 0; tried < 10; ++tried)
    {
        total += timeout.current();
        timeout.note_expired();
    }
    BOOST_TEST((timeout.current() == confirmation_timeout::max_timeout));
    // 10,000 daemons at 9 instances: fewer than 1,000 attempts per second at each.
    BOOST_TEST((total > std::chrono::seconds(8)));
    timeout.note_confirmed();
    BOOST_TEST((timeout.current() == confirmation_timeout::min_timeout));
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
        // Each tried instance reports the others, in its own order.
        std::set<endpoint> tried;
        for (std::uint32_t i = 0; i < 5; ++i)
        {
            const endpoint next_instance = rotation.next();
            BOOST_TEST(tried.insert(next_instance).second);
            rotation.update({instance(5), instance(4), instance(3), instance(1)});
        }
        rotation.update({instance(1)});
        std::set<endpoint> remaining;
        for (std::uint32_t i = 0; i < 3; ++i)
        {
            remaining.insert(rotation.next());
        }
        BOOST_TEST((remaining == std::set<endpoint>{instance(1), instance(2), instance(3)}));
    }
}

/** New seeds replace the configured ones, and what control listed last stays. */
BOOST_AUTO_TEST_CASE(configured_instances_can_be_replaced)
{
    for (std::uint32_t seed = 0; seed < 50; ++seed)
    {
        instance_rotation rotation({{1, 7000}, {2, 7000}}, seed);
        rotation.next();
        rotation.update({{2, 7000}, {3, 7000}});
        rotation.set_configured({{4, 7000}, {5, 7000}});
        std::set<endpoint> offered;
        for (int i = 0; i < 8; ++i)
        {
            offered.insert(rotation.next());
        }
        BOOST_TEST((offered == std::set<endpoint>{{2, 7000}, {3, 7000}, {4, 7000}, {5, 7000}}));
    }
}

BOOST_AUTO_TEST_CASE(daemons_start_at_different_instances)
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
