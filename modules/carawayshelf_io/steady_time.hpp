#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** The current time of the steady clock, which all cores use. Changes of the system time don't
    affect it. Thread-safe. */
inline time_point steady_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

} // namespace carawayshelf
