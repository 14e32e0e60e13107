#include "carawayshelf_packets/pace_monitor.hpp"

#include <iomanip>
#include <sstream>
#include <string>

namespace carawayshelf
{

namespace
{

/** A server that is first announced later than this after the start of the agent has started after
    it: announcements come about every second. */
constexpr duration max_first_announcement_delay = std::chrono::seconds(5);

constexpr std::string_view part_name = "pace";

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

pace_monitor::pace_monitor(opening_admission& admission, packet_counters& counters,
                           packet_observer& observer)
    : admission_(admission), counters_(counters), observer_(observer)
{
    counters_.pace = reported_pace(false);
}

void pace_monitor::begin(time_point now, pace_start reason)
{
    agent_started_at_ = reason == pace_start::agent_start ? now : agent_started_at_;
    admission_.pace().begin(now, reason);
    report_changes();
}

void pace_monitor::handle_announcement(time_point now,
                                       const backend_server_state::announcement_result& result,
                                       bool is_announced_cold)
{
    const bool may_be_older =
        !has_announced_ && now - agent_started_at_ < max_first_announcement_delay;
    const bool becomes_cold = is_announced_cold && !is_announced_cold_;
    if (becomes_cold || (result.is_new_incarnation && (is_announced_cold || !may_be_older)))
    {
        begin(now, pace_start::server_start);
    }
    is_announced_cold_ = is_announced_cold;
    has_announced_ = true;
    was_failing_ = admission_.is_failing();
}

void pace_monitor::record_answer(time_point now, duration response_time, std::uint32_t in_flight,
                                 std::uint32_t slots)
{
    admission_.pace().record_answer(now, response_time, in_flight, slots);
    if (was_failing_ && !admission_.is_failing())
    {
        begin(now, pace_start::recovery);
    }
    was_failing_ = admission_.is_failing();
    report_changes();
}

void pace_monitor::record_returned_opening(time_point now)
{
    admission_.pace().record_returned_opening(now);
    report_changes();
}

void pace_monitor::tick(time_point now, std::uint32_t in_flight, bool is_bounded)
{
    admission_.pace().tick(now, in_flight);
    report_changes();
    if (is_bounded && !was_bounded_ && admission_.pace().is_active())
    {
        observer_.record_state({part_name, "bounded",
                                "the server is cold, and the configuration limits its flows by "
                                "cold_requests_per_s; no pace is stated meanwhile"});
    }
    was_bounded_ = is_bounded;
}

std::uint8_t pace_monitor::reported_pace(bool is_bounded) const
{
    if (is_bounded || !admission_.pace().is_active())
    {
        return 0;
    }
    return static_cast<std::uint8_t>(admission_.pace().pace() * pace_units);
}

void pace_monitor::report_changes()
{
    for (const pace_change& change : admission_.pace().take_changes())
    {
        report(change);
    }
    counters_.pace = reported_pace(false);
}

void pace_monitor::report(const pace_change& change)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "from " << change.before << " to " << change.after
         << " of the usual rate, answers take " << std::setprecision(1)
         << milliseconds(change.recent_time) << " ms, usually " << milliseconds(change.usual_time)
         << " ms";
    std::string inputs = text.str();
    if (change.event == pace_event::begins)
    {
        inputs = std::string(pace_start_names.name(change.start)) + ", " + inputs;
    }
    if (change.event == pace_event::falls)
    {
        inputs = std::string(pace_fall_names.name(change.cause)) + ", " + inputs;
    }
    observer_.record_state({part_name, pace_event_names.name(change.event), inputs});
}

} // namespace carawayshelf
