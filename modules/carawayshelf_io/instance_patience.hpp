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
class instance_patience
{
public:
    /** At first: several times the way there and back. */
    static constexpr duration shortest = std::chrono::milliseconds(60);
    static constexpr duration longest = std::chrono::milliseconds(1500);

    /** How long the instance that was just connected has to answer. */
    duration limit() const
    {
        return limit_;
    }

    /** Its time is over; another one is tried. */
    void note_tried()
    {
        limit_ = std::min(limit_ * 2, longest);
    }

    /** The connected instance is in touch with a leader. */
    void note_in_touch()
    {
        limit_ = shortest;
    }

private:
    duration limit_ = shortest;
};

} // namespace carawayshelf
