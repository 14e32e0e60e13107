#pragma once

#include "carawayshelf_overload/opening_admission.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_observer.hpp"
#include "carawayshelf_packets/packet_table.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** Passes the answers and the silence of a backend server to the detector of failures, and reports
    what it finds: counters of bad answers, a gauge, and a line for each change of state. Not
    thread-safe. */
class caller_failure_watch
{
public:
    /** The references must outlive this object. */
    caller_failure_watch(opening_admission& admission, packet_counters& counters,
                         packet_observer& observer);

    /** Records a packet of the answer to a request. */
    void record_begin(time_point now, request_watch& request);

    /** Records a complete answer.
        @param caller_domain  tag of the caller's failure domain; 0 if unknown
        Precondition: request.is_started(). */
    void record_answer(time_point now, std::uint8_t caller_domain, const request_watch& request);

    /** Call at each tick, before record_if_silent(). */
    void begin_check(time_point now);

    /** Returns whether the answer to a request should have begun long ago, and if so marks the
        request as silent and counts a bad answer. Always false if failures are not found by the
       caller's domain.
        @param caller_domain  tag of the caller's failure domain; 0 if unknown */
    bool record_if_silent(time_point now, std::uint8_t caller_domain, request_watch& request);

    /** Reports the changes of state since the last call.
        @param table  names the failure domains */
    void report(time_point now, const packet_table& table);

private:
    opening_admission& admission_;
    packet_counters& counters_;
    packet_observer& observer_;
};

} // namespace carawayshelf
