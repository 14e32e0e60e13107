#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** When a control instance sends its daemons what changed. The first change after a pause goes out
    at once; those that follow within the gather time go out together at its end, so that a release
    of many backend servers costs each daemon a bounded number of updates. Answers releases, and the
    joins after an outage: an instance that can't send yet keeps what changed, and sends it at once
    when it can. Not thread-safe. */
class update_batcher
{
public:
    /** A change waits here for no longer than this. */
    static constexpr duration batch_interval = std::chrono::milliseconds(100);

    /** Something changed that daemons must hear of. */
    void note_change()
    {
        has_change_ = true;
    }

    /** Whether an update is to be sent now. Then it counts as sent.
        @param can_send  whether this instance knows that its state is not older than what daemons
                         may hold */
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
