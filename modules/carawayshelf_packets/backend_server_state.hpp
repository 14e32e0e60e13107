#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/server_announcement.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** What an agent knows of its backend server from announcements, or from control after a restart.
    Not thread-safe. */
class backend_server_state
{
public:
    /** After a restart, the agent uses the state that control has recorded until its backend server
        announces itself, but at most for this many announcement intervals: one interval, plus
        possible delays. */
    static constexpr int recorded_state_intervals = 2;

    /** The backend server gets no new flows after this many intervals without an announcement. */
    static constexpr int max_missed_announcements = 3;

    /** What an applied announcement shows. */
    struct announcement_result
    {
        announcement_verdict verdict = announcement_verdict::repeated;
        bool is_new_incarnation = false; ///< The server has started since the last announcement.
        bool had_server = false;         ///< An earlier incarnation was known.
        /** The new incarnation states a later start than the last one, which may have departed. */
        bool is_later_start = false;
        bool is_of_earlier_start = false; ///< Ignored: the present incarnation started later.
    };

    /** @param service  of the backend server, from the settings
        @param address  of the backend server, from the settings
        @param announce_interval  of its announcements */
    backend_server_state(std::string service, const endpoint& address, duration announce_interval);

    /** Handles an announcement. One of another service or address is foreign. */
    announcement_result handle_announcement(time_point now,
                                            const server_announcement& announcement);

    /** Handles the announcement of its departure. Returns false, and ignores it, if another server
        has taken its place. */
    bool handle_departure(const std::string& id);

    /** Uses the state that control has recorded until the backend server announces itself. */
    void use_recorded_state(time_point now);

    /** Counts the server as cold until its next announcement: its failure domain came back. */
    void require_announcement()
    {
        needs_announcement_ = true;
    }

    /** Whether a backend server has announced itself and has not announced its departure. */
    bool has_announced() const
    {
        return has_server_;
    }

    /** Whether the last backend server has announced its departure. */
    bool has_departed() const
    {
        return !has_server_ && !departed_id_.empty();
    }

    /** Whether a backend server can get new flows by what it announced recently. */
    bool is_known(time_point now) const;

    /** Whether it counts as cold: by its announcement, or because that is not known. */
    bool is_cold(time_point now) const
    {
        return is_announced_cold(now) || needs_announcement_;
    }

    /** Whether it has announced that it is still cold. */
    bool is_announced_cold(time_point now) const
    {
        return now < cold_until_;
    }

    bool is_draining() const
    {
        return server_.is_draining;
    }

    std::uint32_t slots() const
    {
        return server_.slots;
    }

    /** Service of the server: the announced one, or that of the settings. */
    const std::string& service() const
    {
        return has_server_ ? server_.service : service_;
    }

private:
    std::string service_;
    endpoint address_;
    duration announce_interval_;

    bool has_server_ = false;
    server_announcement server_;
    time_point announced_at_;
    time_point cold_until_;
    bool needs_announcement_ = false; ///< Counts as cold until its server announces itself: the
                                      ///< agent restarted, or its domain came back.
    std::string departed_id_;
    time_point recorded_state_until_; ///< Without an announcement, the state recorded by control is
                                      ///< used until then.
};

} // namespace carawayshelf
