/** @file
    Tests of start_ramp and request_limiter.
*/
#include "carawayshelf_admission/request_limiter.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace carawayshelf
{

namespace
{

const time_point start{std::chrono::seconds(1000)};

service_entry make_entry(service_class traffic_class)
{
    service_entry entry;
    entry.traffic_class = traffic_class;
    entry.limits.server_slots = 1;
    entry.limits.server_queue = 8;
    entry.limits.ramp_ms = 0;
    return entry;
}

exchange_key key_of(std::uint16_t id)
{
    return {{1, {1, 1}}, id};
}

/** Number of requests that are queued for a busy server of a service class. */
std::size_t queue_length(service_class traffic_class)
{
    request_limiter limiter;
    limiter.configure(make_entry(traffic_class), 100);
    for (std::uint16_t id = 0; id < 20; ++id)
    {
        limiter.submit(start, key_of(id), start + std::chrono::seconds(1));
    }
    return limiter.queued();
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(ramp_never_admits_more_than_its_rate)
{
    BOOST_TEST(rc::check("for any rate, length and arrivals",
                         []
                         {
                             const std::uint32_t rate = *rc::gen::inRange(1, 2000);
                             const int length_ms = *rc::gen::inRange(1, 20000);
                             start_ramp ramp;
                             ramp.configure(rate, std::chrono::milliseconds(length_ms));
                             ramp.restart(start);
                             time_point now = start;
                             int admitted = 0;
                             for (int arrival = 0; arrival < 200; ++arrival)
                             {
                                 if (!ramp.is_cold(now))
                                 {
                                     break;
                                 }
                                 admitted += ramp.try_admit(now) ? 1 : 0;
                                 RC_ASSERT(admitted <= ramp.max_admitted_until(now) + 1e-6);
                                 now += duration(*rc::gen::inRange(0, length_ms * 100));
                             }
                         }));
}

BOOST_AUTO_TEST_CASE(ramp_imposes_no_limit_after_its_length)
{
    start_ramp ramp;
    ramp.configure(1, std::chrono::seconds(1));
    ramp.restart(start);
    BOOST_TEST(ramp.try_admit(start));
    BOOST_TEST(!ramp.try_admit(start));
    BOOST_TEST(ramp.wait_time(start).count() > 0);
    for (int i = 0; i < 100; ++i)
    {
        BOOST_TEST(ramp.try_admit(start + std::chrono::seconds(1)));
    }
}

BOOST_AUTO_TEST_CASE(less_important_classes_have_shorter_queues)
{
    BOOST_TEST(queue_length(service_class::critical) == 8U);
    BOOST_TEST(queue_length(service_class::normal) == 4U);
    BOOST_TEST(queue_length(service_class::deferrable) == 2U);
}

BOOST_AUTO_TEST_CASE(earliest_deadline_runs_first)
{
    request_limiter limiter;
    limiter.configure(make_entry(service_class::critical), 100);
    limiter.submit(start, key_of(1), start + std::chrono::seconds(1));
    limiter.submit(start, key_of(2), start + std::chrono::seconds(3));
    limiter.submit(start, key_of(3), start + std::chrono::seconds(2));
    limiter.release_slot();
    BOOST_TEST(limiter.start_next(start)->message_id == 3);
    BOOST_TEST(!limiter.start_next(start));
    const std::vector<exchange_key> expired = limiter.expire(start + std::chrono::seconds(3));
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().message_id == 2);
    BOOST_TEST(limiter.queued() == 0U);
}

BOOST_AUTO_TEST_CASE(running_requests_are_limited_to_the_share_of_the_service_limit)
{
    service_entry entry = make_entry(service_class::critical);
    entry.limits.server_slots = 10;
    request_limiter limiter;
    limiter.configure(entry, 3);
    for (std::uint16_t id = 0; id < 10; ++id)
    {
        limiter.submit(start, key_of(id), start + std::chrono::seconds(1));
    }
    BOOST_TEST(limiter.running() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
