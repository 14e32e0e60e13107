#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/backend_server_state.hpp"

#include <optional>

namespace carawayshelf
{

/** Finds out from announcements that the earlier incarnation of a backend server has certainly
    ended, and which flows only that incarnation can hold. A server holds a flow only if it was
    given its opening packet, so a flow whose last opening packet reached the server while the
    earlier incarnation lived is not held by a later one.

    The earlier incarnation lived at its last announcement. Announcements and packets may wait in
    sockets while the agent is frozen or starved, so an announcement counts only if it follows the
    one before in about one interval (a late one follows in more, those behind it in less), and only
    openings that were given to the server alive_margin intervals before it count as earlier. The
    end is confirmed once the later incarnation has announced itself again and confirmation_quarters
    have passed since its first announcement. An announcement or a packet of the earlier incarnation
    in that time shows that it lives, and that another writer has announced the later one. Not
    thread-safe; no I/O. */
class server_restart_detector
{
public:
    /** In announcement intervals. An announcement that counts as regular waited for at most half an
        interval longer than the one before, and an opening packet for at most one and a half. */
    static constexpr int alive_margin = 2;

    /** In announcement intervals times 4: a server that lives announces itself in this time. */
    static constexpr int confirmation_quarters = 5;

    explicit server_restart_detector(duration announce_interval) : interval_(announce_interval)
    {
    }

    /** Handles an announcement and what backend_server_state has found it to be. Returns false if
       it shows that a server lives whose end was announced. */
    bool handle_announcement(time_point now,
                             const backend_server_state::announcement_result& result);

    /** Records that a server lives whose end was announced. */
    void withdraw()
    {
        announced_end_.reset();
    }

    /** Handles that the server has returned a packet of a flow that it had accepted and that nobody
        has closed: a server that holds the flow doesn't. If the end of its incarnation was
        announced, that is confirmed now. Returns whether it is.
        @param opening_given_at  see is_end_announced() */
    bool confirm_by_return(time_point opening_given_at)
    {
        if (!is_end_announced(opening_given_at))
        {
            return false;
        }
        announced_end_->is_confirmed = true;
        return true;
    }

    /** Whether a flow is one of an incarnation whose end was announced, but is not confirmed yet.
        @param opening_given_at  when the server was given the flow's last opening packet, or later
     */
    bool is_end_announced(time_point opening_given_at) const
    {
        return announced_end_ && opening_given_at <= announced_end_->openings_until;
    }

    /** Returns, once, that the end of the earlier incarnation is confirmed: flows whose last
       opening packet was given to the server until the returned time have ended. */
    std::optional<time_point> take_confirmed_end(time_point now);

    /** The same for a server whose end was observed after it had announced its departure.
        @param longest_wait  after this time the departure monitor no longer waits for the end, so
                             that it may not have been observed */
    std::optional<time_point> end_after_departure(time_point now, duration longest_wait) const;

private:
    struct announced_end
    {
        time_point announced_at;
        time_point openings_until;
        bool was_repeated = false; ///< By another announcement of the later incarnation.
        bool is_confirmed = false;
    };

    duration interval_;
    time_point last_announced_at_;       ///< time_point() before the first announcement.
    std::optional<time_point> alive_at_; ///< Last regular announcement.
    std::optional<announced_end> announced_end_;
};

} // namespace carawayshelf
