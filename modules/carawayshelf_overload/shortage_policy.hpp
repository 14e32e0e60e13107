#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/opening_copies.hpp"

#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** What an agent does with an opening for which its backend server has no room now. */
enum class shortage_verdict
{
    queue_in_time, ///< It is expected to be answered within the target.
    queue_late,    ///< It is expected to be answered before its client gives up.
    refuse,        ///< It gets no turn, and a reset is certain to be true.
    wait_for_copy, ///< It gets no turn; the client's next copy can make a reset true.
    ask_members    ///< It gets no turn; a reset needs the consent of all members.
};

/** An opening and its place in the queue, as far as they decide whether it gets its turn. */
struct opening_outlook
{
    duration until_late{0};        ///< If it is admitted later than this, its answer is late.
    duration until_given_up{0};    ///< If it is admitted later than this, its client has given up.
    std::size_t ahead = 0;         ///< Queued openings that come before it.
    std::size_t ahead_if_late = 0; ///< The same, once its answer would be late.
    double load_ahead = 0.0; ///< Offered load that will come ahead of it, in units of what the
                             ///< server can take.
    double own_load = 0.0;   ///< Offered load of its own priority; it comes ahead of late openings.
};

/** The rate at which a backend server takes requests from the queue. */
struct service_rate
{
    duration service_time{0};
    std::uint32_t slots = 1;
};

/** Decides in a shortage which openings wait and which are refused. An opening that can be answered
    in time waits. One that would be late waits if it gets its turn before its client gives up. The
    others are refused, so that the slots serve answers in time. Thread-safe; no state. */
class shortage_policy
{
public:
    /** How long an opening waits until it is admitted; duration::max() if it never gets a turn.
        @param ahead       openings that come before it
        @param load_ahead  offered load that will come ahead of it */
    static duration estimated_wait(std::size_t ahead, double load_ahead, const service_rate& rate);

    /** Decides about an opening that arrives, or that is queued already. */
    static shortage_verdict judge(time_point now, const opening_outlook& outlook,
                                  const service_rate& rate, const opening_copies& copies);

    /** Decides about an opening that gets no turn. */
    static shortage_verdict judge_without_turn(time_point now, const opening_copies& copies);
};

} // namespace carawayshelf
