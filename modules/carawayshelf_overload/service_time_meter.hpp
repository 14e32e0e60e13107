#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>

namespace carawayshelf
{

/** Assumed time of a request before any was measured: the mean of the users' requests. */
inline constexpr duration default_service_time = std::chrono::milliseconds(20);

/** Estimates the time that a backend server takes for a request, from what its agent sees. A
    request that found a free slot is measured directly; while all slots are in use, the time is
    calculated from the interval between answers. Not thread-safe. */
class service_time_meter
{
public:
    duration time() const
    {
        return time_;
    }

    /** Records a complete answer.
        @param response_time       time that the request was in flight
        @param found_free_slot     whether the server could start it immediately
        @param requests_in_flight  number of requests that are still in flight
        @param slots               number of requests that the server serves at the same time */
    void record_answer(time_point now, duration response_time, bool found_free_slot,
                       std::uint32_t requests_in_flight, std::uint32_t slots)
    {
        if (found_free_slot)
        {
            add(response_time);
        }
        else if (was_full_)
        {
            add((now - last_answer_) * slots);
        }
        last_answer_ = now;
        was_full_ = requests_in_flight >= slots;
    }

private:
    /** A new measurement enters the smoothed time with a weight of one over this. */
    static constexpr int smoothing_divisor = 16;

    void add(duration measured)
    {
        time_ += (measured - time_) / smoothing_divisor;
    }

    duration time_ = default_service_time;
    time_point last_answer_;
    bool was_full_ = false; ///< All slots have been in use since the last answer.
};

} // namespace carawayshelf
