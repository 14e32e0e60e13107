/** @file
    The clock of all cores.
*/
#include "carawayshelf_io/steady_time.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>

namespace carawayshelf
{

BOOST_AUTO_TEST_SUITE(steady_times)

/** After a machine was suspended, a daemon took its table for fresh, and a control instance its
    leader for active, since the clock had stood still. */
BOOST_AUTO_TEST_CASE(the_clock_goes_on_while_the_machine_is_suspended)
{
    timespec value{};
    BOOST_REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &value) == 0);
    const time_point before(std::chrono::duration_cast<duration>(
        std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
    const time_point instant = steady_now();
    BOOST_TEST((instant >= before));
    BOOST_TEST((instant - before < std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
