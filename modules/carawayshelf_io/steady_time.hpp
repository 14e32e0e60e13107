#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <ctime>

namespace carawayshelf
{

/** The current time of the clock that all cores use. Changes of the system time don't affect it,
   and it goes on while the machine is suspended, unlike std::chrono::steady_clock: what was
   confirmed before a suspension is outdated after it. Thread-safe. */
inline time_point steady_now()
{
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

} // namespace carawayshelf
