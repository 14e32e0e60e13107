#include "carawayshelf_overload/pace_controller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayshelf
{

namespace
{

/** The pace rises by this with each good answer: after 12 of them it has gone from 1/4 to 1, and
    with 2 slots and 2 requests ahead the limit of requests has gone from 1 to 4. */
constexpr double rise_per_answer = 1.0 / 16.0;

/** The pace rises by this per second while few requests come, so to 1 within 5 s. */
constexpr double rise_per_second = 0.2;

/** Without an answer for this long, the pace rises with time. */
constexpr duration few_answers_after = std::chrono::milliseconds(500);

/** The pace does not rise with time for this long after it fell. */
constexpr duration pause_after_fall = std::chrono::seconds(1);

/** Answers that take at most this many times the usual time are good; above slow_ratio they are
    bad. */
constexpr double good_ratio = 1.3;
constexpr double slow_ratio = 3.0;

/** An answer enters the smoothed time of the latest answers with a weight of one over this. The
    decisions depend on the smoothed time: with service times that are lognormal with a sigma of
    0.5, 22 % of the answers of a warm server take more than 1.3 times the mean, and 7 % of those of
    a server that is 1.6 times slower take more than 3 times the mean. */
constexpr int recent_divisor = 4;

/** An answer that takes less than the usual time divided by this is probably an error, as in
    fast_failure_detector. */
constexpr int fast_answer_divisor = 4;

/** An answer enters the usual time with a weight of one over this. */
constexpr int usual_divisor = 16;
constexpr int usual_divisor_for_fast_answer = 256;

/** Over this time, the time of the latest answers becomes the usual time. */
constexpr duration settling_time = std::chrono::seconds(5);

/** A usual time learned from the first answers only may be wrong: after this time, fast answers no
    longer count as errors if it is not confirmed. */
constexpr duration provisional_time = std::chrono::seconds(10);

/** The last answer enters the share of errors with a weight of one over this. From max_error_share
    on, the pace does not rise: one error among good answers only halves it, and a server that fails
    a third of its requests stays at a low pace. Slow answers don't count here, since the smoothed
    time limits the pace anyway. */
constexpr double error_share_divisor = 16.0;
constexpr double max_error_share = 0.1;

/** Share of errors assumed at a recovery; fast_failure_detector finds a recovery when its share is
    below this. */
constexpr double error_share_at_recovery = 0.2;

/** If more than max_usual_fast_share of the answers are fast at the usual rate, these are a kind of
    request, not errors. So small a weight for each answer that the answers of a failing server,
    until it is noticed, don't reach it. */
constexpr double usual_fast_share_divisor = 1024.0;
constexpr double max_usual_fast_share = 1.0 / 16.0;

/** Requests that a server gets at the same time, unless its pace has fallen. */
constexpr std::uint32_t least_requests = 2;

/** Requests in flight and none answered for the larger of these: the server does not answer. */
constexpr int silence_in_usual_times = 10;
constexpr duration min_silence = std::chrono::milliseconds(500);

/** Smaller falls are not reported as a change. */
constexpr double min_reported_fall = 1.0 / 8.0;

} // namespace

void pace_controller::begin(time_point now, pace_start reason)
{
    if (!is_active_)
    {
        return;
    }
    pace_change change;
    change.event = pace_event::begins;
    change.start = reason;
    change.before =
        std::exchange(pace_, reason == pace_start::recovery ? pace_at_recovery : first_pace);
    is_limiting_ = true;
    began_at_ = now;
    last_answer_ = now;
    last_rise_ = now;
    last_fall_ = time_point();
    silent_since_ = now;
    recent_time_ = usual_time_;
    error_share_ = reason == pace_start::recovery ? error_share_at_recovery : 0.0;
    first_time_count_ = 0;
    add_change(change);
}

void pace_controller::record_answer(time_point now, duration response_time, std::uint32_t in_flight,
                                    std::uint32_t slots)
{
    if (!is_active_)
    {
        return;
    }
    silent_since_ = now;
    last_answer_ = now;
    const duration normalized = response_time * std::max<std::uint32_t>(slots, 1) /
                                std::max({in_flight, slots, std::uint32_t(1)});
    if (!is_usual_time_known())
    {
        learn_first_time(normalized);
        rise(now, rise_per_answer, 1.0);
        return;
    }
    if (!is_limiting_)
    {
        learn_usual_time(normalized, response_time * fast_answer_divisor < usual_time_);
        return;
    }
    if (counts_as_error(now, response_time))
    {
        fall(now, pace_fall::fast_answer);
        return;
    }
    error_share_ -= error_share_ / error_share_divisor;
    recent_time_ += (normalized - recent_time_) / recent_divisor;
    if (!is_usual_time_confirmed_)
    {
        // The first answers may have been unusually fast.
        usual_time_ =
            std::max(usual_time_ + (normalized - usual_time_) / usual_divisor, duration(1));
    }
    const double ratio = static_cast<double>(recent_time_.count()) /
                         static_cast<double>(std::max(expected_time(now), duration(1)).count());
    if (ratio > slow_ratio)
    {
        fall(now, pace_fall::slow_answer);
    }
    else if (ratio > good_ratio && pace_ > 1.0 / ratio)
    {
        fall_to(now, 1.0 / ratio, pace_fall::slow_answer);
    }
    else
    {
        rise(now, rise_per_answer, ratio > good_ratio ? 1.0 / ratio : 1.0);
    }
}

void pace_controller::record_returned_opening(time_point now)
{
    if (is_limiting_)
    {
        fall(now, pace_fall::returned_opening);
    }
}

void pace_controller::tick(time_point now, std::uint32_t in_flight)
{
    if (!is_limiting_)
    {
        return;
    }
    silent_since_ = in_flight == 0 ? now : silent_since_;
    if (now - silent_since_ >= std::max(expected_time(now) * silence_in_usual_times, min_silence))
    {
        silent_since_ = now;
        fall(now, pace_fall::no_answer);
    }
    else if (now - last_answer_ >= few_answers_after && now - last_fall_ >= pause_after_fall)
    {
        rise(now, 0.0, 1.0);
    }
}

std::uint32_t pace_controller::limit(std::uint32_t slots, std::uint32_t requests_ahead) const
{
    const std::uint32_t usual_limit = slots + requests_ahead;
    const std::uint32_t limit =
        std::max(1U, static_cast<std::uint32_t>(std::ceil(pace_ * usual_limit)));
    if (pace_ < first_pace)
    {
        return limit;
    }
    if (!is_usual_time_confirmed_ && error_share_ < max_error_share)
    {
        return usual_limit;
    }
    return std::max(limit, std::min(slots, least_requests));
}

std::vector<pace_change> pace_controller::take_changes()
{
    return std::exchange(changes_, {});
}

/** Learns the usual time from the first answers. The median leaves out a few errors. */
void pace_controller::learn_first_time(duration normalized)
{
    first_times_[first_time_count_] = std::max(normalized, duration(1));
    if (++first_time_count_ < learning_answers)
    {
        return;
    }
    const auto median = first_times_.begin() + learning_answers / 2;
    std::nth_element(first_times_.begin(), median, first_times_.end());
    usual_time_ = *median;
    recent_time_ = usual_time_;
}

void pace_controller::learn_usual_time(duration normalized, bool is_fast)
{
    usual_time_ +=
        (normalized - usual_time_) / (is_fast ? usual_divisor_for_fast_answer : usual_divisor);
    usual_time_ = std::max(usual_time_, duration(1));
    usual_fast_share_ += ((is_fast ? 1.0 : 0.0) - usual_fast_share_) / usual_fast_share_divisor;
    is_usual_time_confirmed_ = true;
}

/** The usual time, which settles at the time of the latest answers: a server that stays slow is
    given its usual share again, and its longer service time shifts load away. */
duration pace_controller::expected_time(time_point now) const
{
    const double settled = std::min(1.0, std::chrono::duration<double>(now - began_at_) /
                                             std::chrono::duration<double>(settling_time));
    return usual_time_ + duration(static_cast<std::int64_t>(
                             static_cast<double>((recent_time_ - usual_time_).count()) * settled));
}

bool pace_controller::counts_as_error(time_point now, duration response_time) const
{
    const bool can_tell = is_usual_time_confirmed_ ? usual_fast_share_ < max_usual_fast_share
                                                   : now - began_at_ < provisional_time;
    return can_tell && response_time * fast_answer_divisor < usual_time_;
}

/** Lets the pace rise by a step, and by the time since the last rise. */
void pace_controller::rise(time_point now, double step, double highest)
{
    const double elapsed = std::chrono::duration<double>(now - std::exchange(last_rise_, now)) /
                           std::chrono::duration<double>(std::chrono::seconds(1));
    if (!is_limiting_ || error_share_ >= max_error_share || pace_ >= highest)
    {
        return;
    }
    const double before = pace_;
    pace_ = std::min(highest, pace_ + step + elapsed * rise_per_second);
    if (pace_ < 1.0)
    {
        return;
    }
    is_limiting_ = false;
    usual_time_ = is_usual_time_known() ? expected_time(now) : usual_time_;
    is_usual_time_confirmed_ = is_usual_time_known();
    pace_change change;
    change.event = pace_event::reaches_usual_rate;
    change.before = before;
    add_change(change);
}

/** Halves the pace, at most once per service time. */
void pace_controller::fall(time_point now, pace_fall cause)
{
    error_share_ +=
        cause == pace_fall::slow_answer ? 0.0 : (1.0 - error_share_) / error_share_divisor;
    last_rise_ = now;
    if (now - last_fall_ >= usual_time_)
    {
        fall_to(now, std::max(min_pace, pace_ / 2.0), cause);
    }
}

void pace_controller::fall_to(time_point now, double pace, pace_fall cause)
{
    pace_change change;
    change.event = pace_event::falls;
    change.cause = cause;
    change.before = std::exchange(pace_, pace);
    last_fall_ = now;
    last_rise_ = now;
    if (change.before - pace_ >= min_reported_fall)
    {
        add_change(change);
    }
}

void pace_controller::add_change(pace_change change)
{
    change.after = pace_;
    change.recent_time = recent_time_;
    change.usual_time = usual_time_;
    changes_.push_back(change);
}

} // namespace carawayshelf
