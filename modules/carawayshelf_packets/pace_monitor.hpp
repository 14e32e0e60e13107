#pragma once

#include "carawayshelf_overload/opening_admission.hpp"
#include "carawayshelf_packets/backend_server_state.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_observer.hpp"

#include <cstdint>

namespace carawayshelf
{

/** Passes what an agent sees of its backend server to the server's pace_controller, and reports the
    pace: in load reports, as a metric and by lines about changes. Does nothing if the settings do
    not enable the controller. Not thread-safe; no I/O. */
class pace_monitor
{
public:
    /** The references must outlive the monitor. */
    pace_monitor(opening_admission& admission, packet_counters& counters,
                 packet_observer& observer);

    /** The agent or the server's failure domain starts, or starts again. */
    void begin(time_point now, pace_start reason);

    /** Handles an applied announcement. Begins if the server has started since the last one, or
        says only now that it is cold. The first announcement after a start of the agent shows a
        start of the server only if it says that the server is cold, or comes late.
        Precondition: opening_admission::reset_measurements() was called for a new incarnation. */
    void handle_announcement(time_point now,
                             const backend_server_state::announcement_result& result,
                             bool is_announced_cold);

    /** Records a complete answer, see pace_controller::record_answer(). Call after
        opening_admission::record_answer(): begins if the server no longer seems to fail. */
    void record_answer(time_point now, duration response_time, std::uint32_t in_flight,
                       std::uint32_t slots);

    /** Records that the server has returned an opening packet. */
    void record_returned_opening(time_point now);

    /** Call at each tick of the agent.
        @param in_flight   requests in flight at the server
        @param is_bounded  see reported_pace() */
    void tick(time_point now, std::uint32_t in_flight, bool is_bounded);

    /** The pace for packet_envelope::pace; 0 if it is not stated.
        @param is_bounded  the server is cold, and the configuration limits the rate of flows that
                           it gets meanwhile */
    std::uint8_t reported_pace(bool is_bounded) const;

private:
    void report(const pace_change& change);
    void report_changes();

    opening_admission& admission_;
    packet_counters& counters_;
    packet_observer& observer_;
    time_point agent_started_at_;
    bool is_announced_cold_ = false; ///< By the latest announcement.
    bool has_announced_ = false;
    bool was_failing_ = false;
    bool was_bounded_ = false;
};

} // namespace carawayshelf
