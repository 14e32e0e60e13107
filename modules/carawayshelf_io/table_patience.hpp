#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>

namespace carawayshelf
{

/** How long a daemon that holds no table stays at a control instance that has not said that it is
   in touch with a leader. Answers the minute after a loss of all power: an instance that lost its
    disk, or that no leader has found yet, has no table to give, while another one has. Each next
    instance gets twice the time, so that while no instance can answer, the attempts of many daemons
    don't keep all of them busy. Not thread-safe. */
class table_patience
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

    /** A table has come. */
    void note_table()
    {
        limit_ = shortest;
    }

private:
    duration limit_ = shortest;
};

} // namespace carawayshelf
