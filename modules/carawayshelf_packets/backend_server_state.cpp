#include "carawayshelf_packets/backend_server_state.hpp"

#include <utility>

namespace carawayshelf
{

namespace
{

/** Slots that the backend server is assumed to have until it announces them. */
constexpr std::uint32_t default_slots = 2;

} // namespace

backend_server_state::backend_server_state(std::string service, const endpoint& address,
                                           duration announce_interval)
    : service_(std::move(service)), address_(address), announce_interval_(announce_interval)
{
}

backend_server_state::announcement_result
backend_server_state::handle_announcement(time_point now, const server_announcement& announcement)
{
    announcement_result result;
    if (announcement.service != service_ || announcement.address != address_)
    {
        result.verdict = announcement_verdict::foreign;
        return result;
    }
    const bool is_late = has_server_ && announcement.started_at < server_.started_at;
    result.is_of_earlier_start = is_late;
    if (announcement.id == departed_id_ && announcement.started_at <= server_.started_at)
    {
        return result;
    }
    const bool is_known = has_server_ && announcement.id == server_.id &&
                          announcement.started_at == server_.started_at;
    if (is_late || (is_known && announcement.sequence <= server_.sequence))
    {
        return result;
    }
    result.verdict = announcement_verdict::applied;
    result.is_new_incarnation = !is_known;
    result.had_server = has_server_;
    // A start of 0 is one that the server did not state.
    result.is_later_start = (has_server_ || !departed_id_.empty()) && server_.started_at != 0 &&
                            announcement.started_at > server_.started_at;
    has_server_ = true;
    server_ = announcement;
    announced_at_ = now;
    cold_until_ = now + announcement.cold_for;
    needs_announcement_ = false;
    return result;
}

bool backend_server_state::handle_departure(const std::string& id)
{
    if (has_server_ && server_.id != id)
    {
        return false;
    }
    departed_id_ = id;
    has_server_ = false;
    recorded_state_until_ = time_point();
    return true;
}

void backend_server_state::use_recorded_state(time_point now)
{
    server_.service = service_;
    server_.slots = default_slots;
    needs_announcement_ = true; // The server may have restarted as well, and be cold.
    recorded_state_until_ = now + announce_interval_ * recorded_state_intervals;
}

bool backend_server_state::is_known(time_point now) const
{
    if (!has_server_)
    {
        return now < recorded_state_until_;
    }
    return now - announced_at_ < announce_interval_ * max_missed_announcements;
}

} // namespace carawayshelf
