#include "carawayshelf_packets/server_restart_detector.hpp"

#include <utility>

namespace carawayshelf
{

bool server_restart_detector::handle_announcement(
    time_point now, const backend_server_state::announcement_result& result)
{
    if (result.verdict != announcement_verdict::applied)
    {
        return !result.is_of_earlier_start;
    }
    const duration since_last = now - std::exchange(last_announced_at_, now);
    if (result.is_new_incarnation)
    {
        announced_end_.reset();
        if (result.is_later_start && alive_at_)
        {
            announced_end_ =
                announced_end{now, *alive_at_ - interval_ * alive_margin, false, false};
        }
        return true;
    }
    if (since_last * 2 >= interval_ && since_last * 2 <= interval_ * 3)
    {
        alive_at_ = now;
    }
    if (announced_end_)
    {
        announced_end_->was_repeated = true;
    }
    return true;
}

std::optional<time_point> server_restart_detector::take_confirmed_end(time_point now)
{
    if (!announced_end_)
    {
        return std::nullopt;
    }
    const bool is_old_enough =
        (now - announced_end_->announced_at) * 4 >= interval_ * confirmation_quarters;
    if (!announced_end_->is_confirmed && !(announced_end_->was_repeated && is_old_enough))
    {
        return std::nullopt;
    }
    const time_point openings_until = announced_end_->openings_until;
    announced_end_.reset();
    return openings_until;
}

std::optional<time_point> server_restart_detector::end_after_departure(time_point now,
                                                                       duration longest_wait) const
{
    if (last_announced_at_ == time_point() || now - last_announced_at_ >= longest_wait)
    {
        return std::nullopt;
    }
    return now - interval_ * alive_margin;
}

} // namespace carawayshelf
