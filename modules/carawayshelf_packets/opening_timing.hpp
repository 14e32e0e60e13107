#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayshelf
{

/** What the number of an opening packet's copy tells of its client: a client sends a copy 200 ms
    and another one 600 ms after its first opening packet, and gives the attempt up after 1.4 s, as
    the users' protocol says. */
namespace opening_timing
{

inline constexpr duration first_retransmission_after = std::chrono::milliseconds(200);
inline constexpr duration second_retransmission_after = std::chrono::milliseconds(600);
inline constexpr duration attempt_timeout = std::chrono::milliseconds(1400);

/** For delays on the way. */
inline constexpr duration delay_allowance = std::chrono::milliseconds(50);

/** How long ago the client began when it sent a copy.
    @param copy  0 for the first opening packet */
inline duration elapsed_at_retransmission(std::uint32_t retransmission)
{
    if (retransmission == 0)
    {
        return duration(0);
    }
    return retransmission == 1 ? first_retransmission_after : second_retransmission_after;
}

/** A client from which nothing came for this long after a copy has left, or its next packet was
    lost and the one after that comes soon. */
inline duration max_silence_after(std::uint32_t retransmission)
{
    const duration next = retransmission < 2
                              ? second_retransmission_after - first_retransmission_after
                              : attempt_timeout - second_retransmission_after;
    return next + delay_allowance;
}

/** How much longer an opening that came just now can be of use to a client.
    @param timeout  of the whole request */
inline duration time_left(std::uint32_t retransmission, duration timeout)
{
    return std::min(timeout, attempt_timeout) - elapsed_at_retransmission(retransmission);
}

} // namespace opening_timing

} // namespace carawayshelf
