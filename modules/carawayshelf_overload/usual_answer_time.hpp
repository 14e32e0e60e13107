#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** Estimates the time that a backend server usually takes for a complete answer, and tells answers
    that are many times faster. Those hardly change the estimate: after some hundred of them it has
    adapted to a server whose requests have become shorter. Not thread-safe. */
class usual_answer_time
{
public:
    /** Records a complete answer. Returns whether it was fast.
        @param response_time  time since the request was given to the server */
    bool record_answer(duration response_time)
    {
        const bool is_fast = is_known() && response_time * fast_answer_divisor < time_;
        time_ +=
            (response_time - time_) / (is_fast ? fast_answer_smoothing_divisor : smoothing_divisor);
        answer_count_ += is_known() ? 0 : 1;
        return is_fast;
    }

    /** Whether enough answers were measured. */
    bool is_known() const
    {
        return answer_count_ >= min_answers;
    }

    /** Usual time of a complete answer; too short until is_known(). */
    duration time() const
    {
        return time_;
    }

private:
    /** An answer that takes less than the usual time divided by this is fast. */
    static constexpr int fast_answer_divisor = 4;

    /** A new measurement enters the usual time with a weight of one over this. */
    static constexpr int smoothing_divisor = 16;
    static constexpr int fast_answer_smoothing_divisor = 256; ///< For a fast answer.

    /** Number of answers after which the usual time is known. */
    static constexpr int min_answers = 16;

    duration time_{0};
    int answer_count_ = 0;
};

} // namespace carawayshelf
