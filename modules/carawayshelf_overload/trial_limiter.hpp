#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** Limits the new flows that a failing backend server gets as trials. Not thread-safe. */
class trial_limiter
{
public:
    /** One new flow per interval is a trial. The interval is shorter for idempotent requests, so
        that trials are mostly requests that may be repeated. */
    static constexpr duration idempotent_interval = std::chrono::milliseconds(500);
    static constexpr duration non_idempotent_interval = std::chrono::seconds(4);

    /** Returns whether a new flow may be sent to a failing server now. If so, it counts as the
        trial of this interval. */
    bool try_start(time_point now, bool is_idempotent)
    {
        return try_start_after(now, is_idempotent ? idempotent_interval : non_idempotent_interval);
    }

    /** As try_start(), with another interval. */
    bool try_start_after(time_point now, duration interval)
    {
        if (now - last_trial_ < interval)
        {
            return false;
        }
        last_trial_ = now;
        return true;
    }

    /** Begins an interval without a trial. */
    void postpone(time_point now)
    {
        last_trial_ = now;
    }

private:
    time_point last_trial_;
};

} // namespace carawayshelf
