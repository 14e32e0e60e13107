#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayshelf
{

/** Timing of the opening packets of a client. The users' protocol specifies that a client
    retransmits its opening packet 200 ms and 600 ms after the first one, and gives up after
    1.4 s. */
namespace opening_timing
{

inline constexpr duration first_retransmission_after = std::chrono::milliseconds(200);
inline constexpr duration second_retransmission_after = std::chrono::milliseconds(600);
inline constexpr duration attempt_timeout = std::chrono::milliseconds(1400);

/** A flow without a route is reset because of its opening packet only if that has waited for less
    than this: the reset must arrive before the client retransmits, since a retransmission may
    open the flow. The rest of first_retransmission_after is left to the network. */
inline constexpr duration max_wait_before_refusal = std::chrono::milliseconds(100);

/** Whether another copy of an opening packet may have opened its flow. That copy and its answer may
    still be on their way, so no process can rule this out later.
    @param retransmission  0 for the first opening packet
    @param waited          in the processes that handled the packet */
inline bool may_have_other_copies(std::uint32_t retransmission, duration waited)
{
    return retransmission != 0 || waited >= max_wait_before_refusal;
}

/** Allowance for network delays. */
inline constexpr duration delay_allowance = std::chrono::milliseconds(50);

/** Time between the first opening packet and a retransmission.
    @param retransmission  0 for the first opening packet */
inline duration elapsed_at_retransmission(std::uint32_t retransmission)
{
    if (retransmission == 0)
    {
        return duration(0);
    }
    return retransmission == 1 ? first_retransmission_after : second_retransmission_after;
}

/** If no packet comes for this long after a retransmission, the client has given up or its next
    packet was lost. In the latter case the packet after that one follows soon.
    @param retransmission  0 for the first opening packet */
inline duration max_silence_after(std::uint32_t retransmission)
{
    const duration next = retransmission < 2
                              ? second_retransmission_after - first_retransmission_after
                              : attempt_timeout - second_retransmission_after;
    return next + delay_allowance;
}

/** Time during which the client still waits for the answer, from the arrival of an opening packet.
    @param retransmission  0 for the first opening packet
    @param timeout  timeout of the whole request */
inline duration time_left(std::uint32_t retransmission, duration timeout)
{
    return std::min(timeout, attempt_timeout) - elapsed_at_retransmission(retransmission);
}

} // namespace opening_timing

} // namespace carawayshelf
