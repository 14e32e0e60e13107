/** @file
    How a backend server that fails what it gets is found by its answers' time, and tried again.
*/
#include "carawayshelf_packets/failure_watch.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

namespace carawayshelf
{

namespace
{

constexpr duration usual = std::chrono::milliseconds(20);
constexpr duration failing = std::chrono::milliseconds(1);

void answer(failure_watch& watch, duration taken, int times)
{
    for (int i = 0; i < times; ++i)
    {
        watch.note_answer(taken);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(failure_watches)

BOOST_AUTO_TEST_CASE(a_server_that_begins_to_fail_is_suspect_after_a_few_answers)
{
    failure_watch watch;
    answer(watch, usual, 50);
    BOOST_TEST(!watch.is_suspect());
    answer(watch, failing, 10);
    BOOST_TEST(watch.is_suspect());
    answer(watch, usual, 15);
    BOOST_TEST(!watch.is_suspect());
}

BOOST_AUTO_TEST_CASE(requests_of_varied_length_make_nobody_suspect)
{
    std::mt19937 random(20261204);
    std::lognormal_distribution<double> work(0.0, 0.5); // As the users' requests vary.
    failure_watch watch;
    for (int i = 0; i < 20000; ++i)
    {
        watch.note_answer(
            duration(static_cast<std::int64_t>(work(random) * static_cast<double>(usual.count()))));
        BOOST_REQUIRE(!watch.is_suspect());
    }
}

BOOST_AUTO_TEST_CASE(a_server_whose_requests_became_short_for_good_counts_as_usual_again)
{
    failure_watch watch;
    answer(watch, usual, 50);
    answer(watch, failing, 1500);
    BOOST_TEST(!watch.is_suspect());
}

BOOST_AUTO_TEST_CASE(a_server_of_which_nothing_is_known_is_not_suspect)
{
    failure_watch watch;
    answer(watch, failing, 100);
    BOOST_TEST(!watch.is_suspect());
    answer(watch, usual, 50);
    answer(watch, failing, 10);
    BOOST_TEST(watch.is_suspect());
    watch.reset();
    BOOST_TEST(!watch.is_suspect());
}

BOOST_AUTO_TEST_CASE(a_suspect_is_tried_now_and_then_and_rarely_with_what_must_not_be_repeated)
{
    failure_watch watch;
    time_point now(std::chrono::seconds(100));
    BOOST_TEST(watch.take_trial(now, true));
    BOOST_TEST(!watch.take_trial(now, true));
    now += failure_watch::trial_interval;
    BOOST_TEST(!watch.take_trial(now, false));
    BOOST_TEST(watch.take_trial(now, true));
    now += failure_watch::trial_interval_of_unrepeatable;
    BOOST_TEST(watch.take_trial(now, false));
    BOOST_TEST(!watch.take_trial(now, true));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
