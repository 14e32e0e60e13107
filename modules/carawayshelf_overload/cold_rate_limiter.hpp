#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <deque>

namespace carawayshelf
{

/** Limits the number of new flows that a cold backend server gets within any second. Not
    thread-safe. */
class cold_rate_limiter
{
public:
    /** Admits one flow. Returns false, and counts nothing, if the limit is reached.
        @param per_second  flows per second that the backend server can serve while it is cold */
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
    /** One second, plus the possible delay of a packet between the agent and the backend server. */
    static constexpr duration window = std::chrono::milliseconds(1100);

    /** Flows allowed in addition to the rate, so that the server gets enough requests to leave the
        cold state. The users' rules allow 5. */
    static constexpr double burst_flows = 3.0;

    std::deque<time_point> admitted_; ///< Oldest first.
};

} // namespace carawayshelf
