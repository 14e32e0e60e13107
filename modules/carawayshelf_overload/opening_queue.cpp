#include "carawayshelf_overload/opening_queue.hpp"

#include <iterator>
#include <utility>

namespace carawayshelf
{

void opening_queue::add(time_point now, std::uint32_t priority, queued_opening opening)
{
    const bool is_late = opening.late_at <= now;
    const queue_key key{is_late, priority, is_late ? opening.deadline : opening.late_at,
                        ++last_arrival_};
    keys_[opening.flow] = key;
    next_expiry_ = std::min(next_expiry_, opening.deadline);
    queue_.emplace(key, std::move(opening));
}

bool opening_queue::record_retransmission(time_point now, const packet_flow& flow,
                                          std::uint32_t retransmission, duration waited)
{
    const auto found = keys_.find(flow);
    if (found == keys_.end())
    {
        return false;
    }
    queued_opening& queued = queue_.at(found->second);
    queued.client_gone_at = now + opening_timing::max_silence_after(retransmission);
    queued.copies.record(now, retransmission, waited);
    return true;
}

void opening_queue::move_late_packets(time_point now)
{
    for (auto item = queue_.begin(); item != queue_.end();)
    {
        if (item->first.is_late)
        {
            // The late packets of this priority end here; in the order in_time_first, no packet
            // in time follows them.
            item = queue_.upper_bound({true, item->first.priority, time_point::min(), 0});
            continue;
        }
        const auto current = item++;
        if (now < current->second.late_at)
        {
            continue;
        }
        auto moved = queue_.extract(current);
        moved.key().is_late = true;
        moved.key().due = moved.mapped().deadline;
        keys_[moved.mapped().flow] = moved.key();
        queue_.insert(std::move(moved));
    }
}

std::optional<queued_opening> opening_queue::take_next(time_point now)
{
    move_late_packets(now);
    if (queue_.empty())
    {
        return std::nullopt;
    }
    queued_opening next = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    keys_.erase(next.flow);
    return next;
}

std::vector<queued_opening> opening_queue::take_expired(time_point now)
{
    std::vector<queued_opening> expired;
    if (now < next_expiry_)
    {
        return expired;
    }
    next_expiry_ = time_point::max();
    for (auto item = queue_.begin(); item != queue_.end();)
    {
        if (now < item->second.deadline)
        {
            next_expiry_ = std::min(next_expiry_, item->second.deadline);
            ++item;
            continue;
        }
        keys_.erase(item->second.flow);
        expired.push_back(std::move(item->second));
        item = queue_.erase(item);
    }
    return expired;
}

std::size_t opening_queue::count_ahead(bool is_late, std::uint32_t priority) const
{
    const queue_key last{is_late, priority, time_point::max(), UINT64_MAX};
    return static_cast<std::size_t>(std::distance(queue_.begin(), queue_.upper_bound(last)));
}

} // namespace carawayshelf
