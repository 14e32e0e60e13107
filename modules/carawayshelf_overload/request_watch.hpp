#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstddef>

namespace carawayshelf
{

/** The request of a flow that the backend server has been given, and whether its answer has begun.
    Not thread-safe. */
class request_watch
{
public:
    /** Records that the request was given to the server. Ignored for a retransmission, that is,
        while a request is watched already.
        @param requests_ahead  other requests that the server had not answered at that time */
    void start(time_point now, std::size_t requests_ahead)
    {
        if (!is_started())
        {
            given_at_ = now;
            requests_ahead_ = requests_ahead;
        }
    }

    /** Records the first packet of the answer. */
    void begin_answer()
    {
        has_answer_begun_ = true;
    }

    /** Records that the request was counted as a bad answer because of the server's silence. */
    void mark_silent()
    {
        is_silent_ = true;
    }

    /** Ends the watch. A silent request stays known as such until its answer comes, so that its
        retransmissions do not count as further requests. */
    void end(bool was_answered)
    {
        if (was_answered || !is_silent_)
        {
            *this = request_watch();
        }
    }

    bool is_started() const
    {
        return given_at_ != time_point();
    }

    /** Whether the first packet of the answer is awaited, and its lack was not counted yet. */
    bool is_awaited() const
    {
        return is_started() && !has_answer_begun_ && !is_silent_;
    }

    bool is_silent() const
    {
        return is_silent_;
    }

    /** When the request was given to the server. Precondition: is_started(). */
    time_point given_at() const
    {
        return given_at_;
    }

    std::size_t requests_ahead() const
    {
        return requests_ahead_;
    }

private:
    time_point given_at_; ///< time_point() between requests.
    std::size_t requests_ahead_ = 0;
    bool has_answer_begun_ = false;
    bool is_silent_ = false;
};

} // namespace carawayshelf
