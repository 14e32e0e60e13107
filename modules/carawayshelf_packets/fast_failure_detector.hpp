#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** Finds out by the time of its answers that a backend server fails what it gets: it answers most
    requests many times faster than it used to. Its contents are nobody's business but the ends',
    and its health answers can be false. Answers servers that fail fast and so look idle and draw
    more than the others: while one is suspect it gets a trial now and then instead of new flows. A
    server whose requests have become short for good counts as usual again after some hundred
    answers. Not thread-safe. */
class fast_failure_detector
{
public:
    /** One new flow in this time is a trial, first of requests that may be repeated. */
    static constexpr duration trial_interval = std::chrono::milliseconds(500);
    static constexpr duration non_idempotent_trial_interval = std::chrono::seconds(4);

    /** An answer has ended.
        @param taken  since the request was given to the server */
    void note_answer(duration taken)
    {
        const bool is_fast = is_usual_time_known() && taken * fast_answer_divisor < usual_time_;
        usual_time_ +=
            (taken - usual_time_) / (is_fast ? fast_answer_smoothing_divisor : smoothing_divisor);
        answer_count_ += is_usual_time_known() ? 0 : 1;
        fast_share_ += ((is_fast ? 1.0 : 0.0) - fast_share_) / share_smoothing_divisor;
        if (fast_share_ > suspect_threshold)
        {
            is_suspect_ = true;
        }
        else if (fast_share_ < trust_threshold)
        {
            is_suspect_ = false;
        }
    }

    bool is_suspect() const
    {
        return is_suspect_;
    }

    /** Whether a new flow may be a trial now; then it counts as one. */
    bool try_start_trial(time_point now, bool is_idempotent)
    {
        if (now - last_trial_ < (is_idempotent ? trial_interval : non_idempotent_trial_interval))
        {
            return false;
        }
        last_trial_ = now;
        return true;
    }

    /** Another server answers from now on. */
    void reset()
    {
        *this = fast_failure_detector();
    }

private:
    /** An answer in less than the usual time over this is hasty. */
    static constexpr int fast_answer_divisor = 4;

    /** Parts of a new measurement in the usual time, as one over this. */
    static constexpr int smoothing_divisor = 16;
    static constexpr int fast_answer_smoothing_divisor = 256; ///< Of a hasty answer.

    /** Answers after which the usual time is known. */
    static constexpr int min_answers = 16;

    /** Part of the last answer in the share of hasty ones, as one over this. */
    static constexpr double share_smoothing_divisor = 8.0;
    static constexpr double suspect_threshold = 0.5;
    static constexpr double trust_threshold = 0.2;

    bool is_usual_time_known() const
    {
        return answer_count_ >= min_answers;
    }

    duration usual_time_{0};
    int answer_count_ = 0;
    double fast_share_ = 0.0;
    bool is_suspect_ = false;
    time_point last_trial_;
};

} // namespace carawayshelf
