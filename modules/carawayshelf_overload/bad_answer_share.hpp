#pragma once

#include "carawayshelf_overload/caller_state.hpp"

namespace carawayshelf
{

/** Smoothed share of bad answers, and what follows from it for the callers. Not thread-safe. */
class bad_answer_share
{
public:
    /** @param weight  number of answers that it counts as */
    void record_answer(bool is_bad, int weight)
    {
        for (int i = 0; i < weight; ++i)
        {
            record_answer(is_bad);
        }
    }

    void record_answer(bool is_bad)
    {
        share_ += ((is_bad ? 1.0 : 0.0) - share_) / smoothing_divisor;
        if (share_ > failing_threshold)
        {
            is_failing_ = true;
        }
        else if (share_ < recovered_threshold)
        {
            is_failing_ = false;
        }
        is_doubtful_ = share_ > (is_doubtful_ ? no_doubt_threshold : doubtful_threshold);
    }

    /** From 0 to 1. */
    double share() const
    {
        return share_;
    }

    bool is_failing() const
    {
        return is_failing_;
    }

    caller_state state() const
    {
        if (is_failing_)
        {
            return caller_state::failing;
        }
        return is_doubtful_ ? caller_state::doubtful : caller_state::good;
    }

private:
    /** The last answer enters the share of bad answers with a weight of one over this. */
    static constexpr double smoothing_divisor = 8.0;

    /** Shares of bad answers above which a server counts as failing, and below which it counts as
        working again. */
    static constexpr double failing_threshold = 0.5;
    static constexpr double recovered_threshold = 0.2;

    /** Shares of bad answers above which a server that is not failing counts as doubtful, and below
        which it counts as good again. The distance keeps a server that fails a fifth of its
        requests doubtful for most of the time. */
    static constexpr double doubtful_threshold = 0.25;
    static constexpr double no_doubt_threshold = 0.1;

    double share_ = 0.0;
    bool is_failing_ = false;
    bool is_doubtful_ = false;
};

} // namespace carawayshelf
