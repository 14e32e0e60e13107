#pragma once

#include <chrono>

namespace carawayshelf
{

/** Duration in microseconds. */
using duration = std::chrono::microseconds;

/** Point in time of a monotonic clock. Modules without I/O never read a clock: their driver passes
    the time in, so that tests can run in virtual time. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

} // namespace carawayshelf
