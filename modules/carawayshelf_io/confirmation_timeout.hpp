#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>

namespace carawayshelf
{

/** How long a daemon stays at a control instance that it has just connected to and that has not
   said that it is in touch with a leader. Answers the minute after a loss of all power, when an
   instance that lost its disk or that no leader has found yet has no table to give, and cuts
   between control instances, when those cut off give what they held before; another one is in
   touch. Each next instance gets twice the time, so that while no instance can answer, the attempts
   of many daemons don't keep all of them busy. Not thread-safe. */
class confirmation_timeout
{
public:
    /** At first: several times the way there and back. */
    static constexpr duration min_timeout = std::chrono::milliseconds(60);
    static constexpr duration max_timeout = std::chrono::milliseconds(1500);

    /** How long the instance that was just connected has to answer. */
    duration current() const
    {
        return current_;
    }

    /** Its time is over; another one is tried. */
    void note_expired()
    {
        current_ = std::min(current_ * 2, max_timeout);
    }

    /** The connected instance is in touch with a leader. */
    void note_confirmed()
    {
        current_ = min_timeout;
    }

private:
    duration current_ = min_timeout;
};

} // namespace carawayshelf
