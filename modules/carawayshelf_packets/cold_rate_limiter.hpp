#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <deque>

namespace carawayshelf
{

/** Bounds how many new flows a cold backend server gets within any one second. Not thread-safe. */
class cold_rate_limiter
{
public:
    /** Takes one of the allowance. Returns false, and takes nothing, when none is left.
        @param per_second  what the backend server bears while cold */
    bool try_acquire(time_point now, double per_second)
    {
        while (!admitted_.empty() && now - admitted_.front() >= window)
        {
            admitted_.pop_front();
        }
        if (static_cast<double>(admitted_.size()) >= per_second + burst_flows)
        {
            return false;
        }
        admitted_.push_back(now);
        return true;
    }

private:
    /** A second, and what a packet may be delayed on its way to the backend server. */
    static constexpr duration window = std::chrono::milliseconds(1100);

    /** Flows beyond the stated rate: some must arrive for the cold state to be left; the users'
        rules allow 5. */
    static constexpr double burst_flows = 3.0;

    std::deque<time_point> admitted_; ///< Oldest first.
};

} // namespace carawayshelf
