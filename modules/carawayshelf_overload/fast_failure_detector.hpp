#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/bad_answer_share.hpp"
#include "carawayshelf_overload/trial_limiter.hpp"
#include "carawayshelf_overload/usual_answer_time.hpp"

namespace carawayshelf
{

/** Detects a backend server that fails its requests quickly, by answers that are mostly many times
    faster than usual. Without this, such a server would look idle and attract more requests than
    the others. Packet contents are not inspected, since they concern only the client and the
    server, and answers to health checks can be wrong. A server that seems to fail gets occasional
    trial flows only. A server whose requests have become shorter permanently counts as working
    again after some hundred answers. Not thread-safe. */
class fast_failure_detector
{
public:
    /** A server that seems to fail gets one new flow per interval as a trial. */
    static constexpr duration trial_interval = trial_limiter::idempotent_interval;
    static constexpr duration non_idempotent_trial_interval =
        trial_limiter::non_idempotent_interval;

    /** Records a complete answer.
        @param response_time  time since the request was given to the server */
    void record_answer(duration response_time)
    {
        fast_answers_.record_answer(usual_time_.record_answer(response_time));
    }

    /** Whether the server seems to fail its requests. */
    bool is_failing() const
    {
        return fast_answers_.is_failing();
    }

    /** Returns whether a new flow may be sent to a failing server now. If so, it counts as the
        trial of this interval. */
    bool try_start_trial(time_point now, bool is_idempotent)
    {
        return trials_.try_start(now, is_idempotent);
    }

    /** Discards all measurements. Call when another server answers from now on. */
    void reset()
    {
        *this = fast_failure_detector();
    }

private:
    usual_answer_time usual_time_;
    bad_answer_share fast_answers_;
    trial_limiter trials_;
};

} // namespace carawayshelf
