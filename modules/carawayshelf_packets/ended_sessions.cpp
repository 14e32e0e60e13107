#include "carawayshelf_packets/ended_sessions.hpp"

#include <iterator>

namespace carawayshelf
{

namespace
{

/** Compares numbers that wrap around. */
bool is_within_reset_window(std::uint32_t a, std::uint32_t b)
{
    const std::uint32_t distance = a - b;
    return distance <= ended_sessions::reset_window || -distance <= ended_sessions::reset_window;
}

} // namespace

bool ended_sessions::add(time_point now, const ended_session& session)
{
    forget(session.flow);
    if (order_.empty())
    {
        progress_ = progress();
        progress_.began_at = now;
    }
    const order_key key{session.is_idempotent, -session.last_used.time_since_epoch(),
                        ++last_arrival_};
    if (order_.size() >= capacity)
    {
        const auto last = std::prev(order_.end());
        if (last->first < key)
        {
            return false;
        }
        forget(packet_flow(last->second));
    }
    order_.emplace(key, session.flow);
    sessions_[session.flow] = {session, key, false, {}};
    ++progress_.found;
    return true;
}

std::vector<ended_session> ended_sessions::take_due(time_point now)
{
    std::vector<ended_session> due;
    while (!order_.empty() && due.size() < max_resets_per_tick)
    {
        entry& first = sessions_.at(order_.begin()->second);
        due.push_back(first.session);
        note_reset(now, first);
    }
    forget_old_resets(now);
    return due;
}

bool ended_sessions::matches(const packet_flow& flow, std::uint32_t acknowledged) const
{
    const auto found = sessions_.find(flow);
    return found != sessions_.end() &&
           is_within_reset_window(acknowledged, found->second.session.acknowledged);
}

bool ended_sessions::handle_packet(time_point now, const packet_flow& flow,
                                   std::uint32_t acknowledged)
{
    const auto found = sessions_.find(flow);
    if (found == sessions_.end())
    {
        return false;
    }
    if (!matches(flow, acknowledged))
    {
        forget(flow);
        return false;
    }
    if (!found->second.was_reset)
    {
        note_reset(now, found->second);
        forget_old_resets(now);
    }
    return true;
}

void ended_sessions::note_reset(time_point now, entry& item)
{
    order_.erase(item.key);
    item.was_reset = true;
    item.reset_at = now;
    ++progress_.reset_count;
    resets_.emplace_back(now, item.session.flow);
}

void ended_sessions::forget_old_resets(time_point now)
{
    while (!resets_.empty() && (resets_.size() > remembered_resets ||
                                now - resets_.front().first >= memory_after_reset))
    {
        const auto found = sessions_.find(resets_.front().second);
        // A flow between the same addresses may have ended again since.
        if (found != sessions_.end() && found->second.was_reset &&
            found->second.reset_at == resets_.front().first)
        {
            sessions_.erase(found);
        }
        resets_.pop_front();
    }
}

void ended_sessions::forget(const packet_flow& flow)
{
    const auto found = sessions_.find(flow);
    if (found != sessions_.end())
    {
        order_.erase(found->second.key);
        sessions_.erase(found);
    }
}

void ended_sessions::clear()
{
    sessions_.clear();
    order_.clear();
    resets_.clear();
    progress_ = progress();
}

std::optional<ended_sessions::progress> ended_sessions::take_result()
{
    if (!order_.empty() || progress_.found == 0)
    {
        return std::nullopt;
    }
    return std::exchange(progress_, progress());
}

} // namespace carawayshelf
