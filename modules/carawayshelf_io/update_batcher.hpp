#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** Decides when a control instance sends updates to its daemons. The first change after a pause is
    sent at once; changes within the batch interval after it are sent together at its end. This
    bounds the number of updates per daemon while a new release is rolled out to many backend
    servers, and when daemons reconnect after an outage. An instance that can't send yet keeps the
    change pending and sends it as soon as it can. Not thread-safe. */
class update_batcher
{
public:
    /** Minimum time between two updates, and so the longest delay of a change that can be sent. */
    static constexpr duration batch_interval = std::chrono::milliseconds(100);

    /** Notes a change that must be sent to the daemons. */
    void note_change()
    {
        has_change_ = true;
    }

    /** Returns whether an update must be sent now, and if so counts it as sent.
        @param can_send  whether this instance knows that its state is not older than what the
                         daemons may hold */
    bool take_due(time_point now, bool can_send)
    {
        if (!has_change_ || !can_send || now - last_sent_ < batch_interval)
        {
            return false;
        }
        has_change_ = false;
        last_sent_ = now;
        return true;
    }

private:
    bool has_change_ = false;
    time_point last_sent_;
};

} // namespace carawayshelf
