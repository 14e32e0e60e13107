#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>

namespace carawayshelf
{

/** Limits the rate of requests to a backend server after its start.

    The permitted rate grows linearly from the start rate to ten times as much over the length of
    the ramp; after that there is no limit. Not thread-safe.

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
    /** @param start_per_s  initial rate, in requests per second
        @param length       duration of the ramp; zero disables it */
    void configure(std::uint32_t start_per_s, duration length);

    /** Starts the ramp: the server has started or restarted. */
    void restart(time_point now);

    /** Takes a permit; returns false if there is none. */
    bool try_admit(time_point now);

    /** Time until the next permit may be available; zero when the ramp is over. */
    duration wait_time(time_point now) const;

    /** Whether the ramp still limits the rate. */
    bool is_cold(time_point now) const;

    /** Time since the start of the server. */
    duration age(time_point now) const
    {
        return now - started_;
    }

    /** Maximum number of requests that may be admitted from the start of the ramp until a time.
        Used by tests. */
    double max_admitted_until(time_point now) const;

private:
    double permitted_since_start(time_point now) const;

    double start_per_s_ = 0;
    duration length_{0};
    time_point started_{};
    bool is_started_ = false; ///< Whether restart() has been called.
    double admitted_ = 0;
};

} // namespace carawayshelf
