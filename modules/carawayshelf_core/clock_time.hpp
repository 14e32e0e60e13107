#pragma once

#include <chrono>

namespace carawayshelf
{

/** Length of time as the cores use it. */
using duration = std::chrono::microseconds;

/** Instant on a monotonic clock. The core modules never read a clock: whoever drives them passes
    the instant in, so tests can run in virtual time. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

} // namespace carawayshelf
