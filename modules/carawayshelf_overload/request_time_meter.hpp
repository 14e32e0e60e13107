#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/service_time_meter.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayshelf
{

/** Estimates for how long a request occupies a slot of the backend server, from the time between a
    request and its answer. Unlike service_time_meter, it leaves out the handshake, during which the
    slot serves others, and does not go by the interval between answers: while clients are cut off,
    that grows to hundreds of milliseconds although the slots are free. Not thread-safe. */
class request_time_meter
{
public:
    duration time() const
    {
        return time_;
    }

    /** Records a complete answer.
        @param response_time      since the request was given to the server
        @param requests_at_start  in flight when it was admitted, with itself; those beyond the
       slots come before it
        @param slots              number of requests that the server serves at the same time */
    void record_answer(duration response_time, std::uint32_t requests_at_start, std::uint32_t slots)
    {
        const std::int64_t turns_of_slots = std::max({requests_at_start, slots, std::uint32_t(1)});
        time_ += (response_time * std::max<std::int64_t>(slots, 1) / turns_of_slots - time_) /
                 smoothing_divisor;
    }

private:
    /** A new measurement enters the smoothed time with a weight of one over this. */
    static constexpr int smoothing_divisor = 16;

    duration time_ = default_service_time;
};

} // namespace carawayshelf
