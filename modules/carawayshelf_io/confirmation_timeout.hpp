#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>

namespace carawayshelf
{

/** How long a daemon waits for a newly connected control instance to confirm that it has contact
    with a leader, before it tries the next one. Some instances can't confirm: after a power loss of
    the whole cluster, one that lost its disk or that no leader has reached yet has no table; during
    a network partition, one that is cut off would serve an outdated table. The timeout doubles with
    each instance that does not confirm, so that the attempts of many daemons don't overload the
    control instances while none of them can. Not thread-safe. */
class confirmation_timeout
{
public:
    /** Initial value: several round trips. */
    static constexpr duration min_timeout = std::chrono::milliseconds(60);
    static constexpr duration max_timeout = std::chrono::milliseconds(1500);

    /** Timeout for the instance that was just connected. */
    duration current() const
    {
        return current_;
    }

    /** The timeout has expired; doubles it for the next instance, up to max_timeout. */
    void note_expired()
    {
        current_ = std::min(current_ * 2, max_timeout);
    }

    /** The connected instance has confirmed contact with a leader; resets the timeout. */
    void note_confirmed()
    {
        current_ = min_timeout;
    }

private:
    duration current_ = min_timeout;
};

} // namespace carawayshelf
