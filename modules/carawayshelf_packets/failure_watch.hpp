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
class failure_watch
{
public:
    /** One new flow in this time is a trial, first of requests that may be repeated. */
    static constexpr duration trial_interval = std::chrono::milliseconds(500);
    static constexpr duration trial_interval_of_unrepeatable = std::chrono::seconds(4);

    /** An answer has ended.
        @param taken  since the request was given to the server */
    void note_answer(duration taken)
    {
        const bool is_hasty = is_learned() && taken * hasty_factor < usual_;
        usual_ += (taken - usual_) / (is_hasty ? forgetting : smoothing);
        learned_ += is_learned() ? 0 : 1;
        hasty_share_ += ((is_hasty ? 1.0 : 0.0) - hasty_share_) / share_smoothing;
        if (hasty_share_ > suspect_above)
        {
            is_suspect_ = true;
        }
        else if (hasty_share_ < trusted_below)
        {
            is_suspect_ = false;
        }
    }

    bool is_suspect() const
    {
        return is_suspect_;
    }

    /** Whether a new flow may be a trial now; then it counts as one. */
    bool take_trial(time_point now, bool may_be_repeated)
    {
        if (now - tried_ < (may_be_repeated ? trial_interval : trial_interval_of_unrepeatable))
        {
            return false;
        }
        tried_ = now;
        return true;
    }

    /** Another server answers from now on. */
    void reset()
    {
        *this = failure_watch();
    }

private:
    /** An answer in less than the usual time over this is hasty. */
    static constexpr int hasty_factor = 4;

    /** Parts of a new measurement in the usual time, as one over this. */
    static constexpr int smoothing = 16;
    static constexpr int forgetting = 256; ///< Of a hasty answer.

    /** Answers after which the usual time is known. */
    static constexpr int enough_answers = 16;

    /** Part of the last answer in the share of hasty ones, as one over this. */
    static constexpr double share_smoothing = 8.0;
    static constexpr double suspect_above = 0.5;
    static constexpr double trusted_below = 0.2;

    bool is_learned() const
    {
        return learned_ >= enough_answers;
    }

    duration usual_{0};
    int learned_ = 0;
    double hasty_share_ = 0.0;
    bool is_suspect_ = false;
    time_point tried_;
};

} // namespace carawayshelf
