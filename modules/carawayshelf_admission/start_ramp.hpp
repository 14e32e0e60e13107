#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>

namespace carawayshelf
{

/** Limits how many requests a backend server gets after its start.

    The permitted rate grows steadily from the start rate to ten times as much over the ramp's
    length; after that there is no limit. Not thread-safe.

    @code
    start_ramp ramp;
    ramp.configure(20, std::chrono::seconds(10));
    ramp.restart(now);
    if (ramp.try_admit(now)) { run the request }
    @endcode
*/
class start_ramp
{
public:
    /** Rate in requests a second, length of the ramp; a zero length switches it off. */
    void configure(std::uint32_t start_per_s, duration length);

    /** The server has (re)started. */
    void restart(time_point now);

    /** Takes a permit if there is one. */
    bool try_admit(time_point now);

    /** Time until a permit may be there; zero when the ramp is over. */
    duration wait_time(time_point now) const;

    bool is_cold(time_point now) const;

    /** Time since the server's start. */
    duration age(time_point now) const
    {
        return now - started_;
    }

    /** Most requests that the ramp permits from its start until an instant, for checks. */
    double max_admitted_until(time_point now) const;

private:
    double permitted_since_start(time_point now) const;

    double start_per_s_ = 0;
    duration length_{0};
    time_point started_{};
    bool running_ = false;
    double admitted_ = 0;
};

} // namespace carawayshelf
