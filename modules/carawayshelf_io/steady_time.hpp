#pragma once

#include "carawayshelf_core/clock_time.hpp"

namespace carawayshelf
{

/** The present time of the steady clock, which all cores go by; no step of the time of day moves
   it. Thread-safe. */
inline time_point steady_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

} // namespace carawayshelf
