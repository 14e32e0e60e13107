#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>

namespace carawayshelf
{

/** Taken for the time of a request until one was measured: the mean of the users' requests. */
inline constexpr duration default_service_time = std::chrono::milliseconds(20);

/** The time that a backend server takes for a request, as seen from beside it. A request that found
    a free slot tells it by itself; while the server is full, the pace of its answers does. Not
    thread-safe. */
class service_time_meter
{
public:
    duration time() const
    {
        return time_;
    }

    /** An answer has ended.
        @param taken            since the request was given to the server
        @param found_free_slot  whether it was served at once
        @param left             requests that are still under way
        @param slots            requests that the server serves at the same time */
    void note_answer(time_point now, duration taken, bool found_free_slot, std::uint32_t left,
                     std::uint32_t slots)
    {
        if (found_free_slot)
        {
            add(taken);
        }
        else if (was_full_)
        {
            add((now - last_answer_) * slots);
        }
        last_answer_ = now;
        was_full_ = left >= slots;
    }

private:
    /** Part of a new measurement in the smoothed time, as one over this. */
    static constexpr int smoothing_divisor = 16;

    void add(duration measured)
    {
        time_ += (measured - time_) / smoothing_divisor;
    }

    duration time_ = default_service_time;
    time_point last_answer_;
    bool was_full_ = false; ///< Since the last answer all slots have been taken.
};

} // namespace carawayshelf
