#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <utility>

namespace carawayshelf
{

/** Finds when a shortage begins and ends, for the log: it begins with an opening that is refused
    because it gets no turn, and ends when there was none for some time. Not thread-safe. */
class shortage_detector
{
public:
    /** A shortage ends after this time without a refusal. This also bounds the log lines: at most
        one begin and one end in this time. */
    static constexpr duration end_after = std::chrono::seconds(2);

    /** Records a refusal. Returns whether a shortage begins. */
    bool record_refusal(time_point now)
    {
        last_refusal_ = now;
        return !std::exchange(is_short_, true);
    }

    /** Returns whether a shortage ends now. */
    bool check_end(time_point now)
    {
        if (!is_short_ || now - last_refusal_ < end_after)
        {
            return false;
        }
        is_short_ = false;
        return true;
    }

private:
    bool is_short_ = false;
    time_point last_refusal_;
};

} // namespace carawayshelf
