#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>
#include <cstdint>

namespace carawayshelf
{

/** What the number of an opening packet's copy tells of its client: a client sends a copy 200 ms
    and another one 600 ms after its first opening packet, and gives the attempt up after 1.4 s, as
    the users' protocol says. */
namespace opening_age
{

inline constexpr duration first_copy_after = std::chrono::milliseconds(200);
inline constexpr duration second_copy_after = std::chrono::milliseconds(600);
inline constexpr duration attempt_lasts = std::chrono::milliseconds(1400);

/** For delays on the way. */
inline constexpr duration delay_allowance = std::chrono::milliseconds(50);

/** How long ago the client began when it sent a copy.
    @param copy  0 for the first opening packet */
inline duration at_copy(std::uint32_t copy)
{
    if (copy == 0)
    {
        return duration(0);
    }
    return copy == 1 ? first_copy_after : second_copy_after;
}

/** A client from which nothing came for this long after a copy has left, or its next packet was
    lost and the one after that comes soon. */
inline duration silence_after(std::uint32_t copy)
{
    const duration next =
        copy < 2 ? second_copy_after - first_copy_after : attempt_lasts - second_copy_after;
    return next + delay_allowance;
}

/** How much longer an opening that came just now can be of use to a client.
    @param timeout  of the whole request */
inline duration time_left(std::uint32_t copy, duration timeout)
{
    return std::min(timeout, attempt_lasts) - at_copy(copy);
}

} // namespace opening_age

} // namespace carawayshelf
