#include "carawayshelf_packets/opening_queue.hpp"

#include <iterator>
#include <utility>

namespace carawayshelf
{

void opening_queue::add(time_point now, std::uint32_t priority, waiting_opening opening)
{
    const bool is_late = opening.late_after <= now;
    const place own{is_late, priority, is_late ? opening.give_up : opening.late_after,
                    ++last_arrival_};
    places_[opening.flow] = own;
    next_expiry_ = std::min(next_expiry_, opening.give_up);
    waiting_.emplace(own, std::move(opening));
}

bool opening_queue::hear_copy(time_point gone_after, const packet_flow& flow)
{
    const auto found = places_.find(flow);
    if (found == places_.end())
    {
        return false;
    }
    waiting_.at(found->second).gone_after = gone_after;
    return true;
}

void opening_queue::move_late(time_point now)
{
    for (auto item = waiting_.begin(); item != waiting_.end() && !item->first.is_late;)
    {
        const auto current = item++;
        if (now < current->second.late_after)
        {
            continue;
        }
        auto moved = waiting_.extract(current);
        moved.key().is_late = true;
        moved.key().due = moved.mapped().give_up;
        places_[moved.mapped().flow] = moved.key();
        waiting_.insert(std::move(moved));
    }
}

std::optional<waiting_opening> opening_queue::take_next(time_point now)
{
    move_late(now);
    if (waiting_.empty())
    {
        return std::nullopt;
    }
    waiting_opening next = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    places_.erase(next.flow);
    return next;
}

std::vector<waiting_opening> opening_queue::take_expired(time_point now)
{
    std::vector<waiting_opening> expired;
    if (now < next_expiry_)
    {
        return expired;
    }
    next_expiry_ = time_point::max();
    for (auto item = waiting_.begin(); item != waiting_.end();)
    {
        if (now < item->second.give_up)
        {
            next_expiry_ = std::min(next_expiry_, item->second.give_up);
            ++item;
            continue;
        }
        places_.erase(item->second.flow);
        expired.push_back(std::move(item->second));
        item = waiting_.erase(item);
    }
    return expired;
}

std::size_t opening_queue::count_ahead(bool is_late, std::uint32_t priority) const
{
    const place last{is_late, priority, time_point::max(), UINT64_MAX};
    return static_cast<std::size_t>(std::distance(waiting_.begin(), waiting_.upper_bound(last)));
}

} // namespace carawayshelf
