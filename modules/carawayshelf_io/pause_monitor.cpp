#include "carawayshelf_io/pause_monitor.hpp"

#include "carawayshelf_io/json_log.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace carawayshelf
{

namespace
{

/** Time after a pause in which connections are still accepted that were opened during it. */
constexpr duration accept_delay = std::chrono::milliseconds(500);

} // namespace

pause_monitor::pause_monitor(clock now) : now_(std::move(now))
{
}

time_point pause_monitor::note()
{
    const time_point instant = now_();
    const time_point before = std::exchange(last_noted_, instant);
    const duration pause = instant - before;
    if (before != time_point() && pause >= min_pause)
    {
        opened_before_ = instant + accept_delay;
        affected_until_ =
            std::max(affected_until_, instant + std::min(pause, max_retransmission_interval));
        log_warning(
            "did not run for " +
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(pause).count()) +
            " ms: rejects requests that may have waited meanwhile");
    }
    return instant;
}

bool pause_monitor::may_have_waited(time_point opened_at)
{
    const time_point instant = note();
    return instant < affected_until_ && opened_at < opened_before_;
}

} // namespace carawayshelf
