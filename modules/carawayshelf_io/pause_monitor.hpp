#pragma once

#include "carawayshelf_io/steady_time.hpp"

#include <functional>

namespace carawayshelf
{

/** Notices that this process did not run for a while: it was stopped, its thread was blocked, or
    the machine was suspended. What waited in its sockets may be older than its sender's patience,
    and that the sender closed the connection may become known only later: a suspended machine gets
    it with a retransmission. Not thread-safe. */
class pause_monitor
{
public:
    /** A shorter pause is ignored. Callers wait longer than this for a response. */
    static constexpr duration min_pause = std::chrono::milliseconds(500);

    /** Longest time between two retransmissions of TCP. */
    static constexpr duration max_retransmission_interval = std::chrono::seconds(120);

    using clock = std::function<time_point()>;

    explicit pause_monitor(clock now = steady_now);

    /** Notes that the process runs. Call at least every 100 ms.
        @return  the current time */
    time_point note();

    /** Whether a request that arrives now may have been sent in or before a pause, without a sign
        that its sender has given up: for as long after the pause as it lasted, on a connection that
        may have been opened before its end.
        @param opened_at  what note() returned when the connection was accepted */
    bool may_have_waited(time_point opened_at);

private:
    clock now_;
    time_point last_noted_;     ///< time_point() before the first time.
    time_point opened_before_;  ///< Connections opened until then are affected.
    time_point affected_until_; ///< Requests read until then are affected.
};

} // namespace carawayshelf
