#include "carawayshelf_admission/start_ramp.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr double final_rate_factor = 10.0;
constexpr double initial_permits = 1.0;

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

void start_ramp::configure(std::uint32_t start_per_s, duration length)
{
    start_per_s_ = start_per_s;
    length_ = length;
}

void start_ramp::restart(time_point now)
{
    started_ = now;
    is_started_ = true;
    admitted_ = 0;
}

bool start_ramp::is_cold(time_point now) const
{
    return is_started_ && now - started_ < length_;
}

double start_ramp::permitted_since_start(time_point now) const
{
    // Integral of a rate that grows linearly from start_per_s_ to final_rate_factor times as much.
    const double elapsed = to_seconds(std::max(duration{0}, now - started_));
    const double ramp_fraction = elapsed / to_seconds(length_);
    return initial_permits +
           start_per_s_ * elapsed * (1.0 + (final_rate_factor - 1.0) * ramp_fraction / 2.0);
}

double start_ramp::max_admitted_until(time_point now) const
{
    return permitted_since_start(now);
}

bool start_ramp::try_admit(time_point now)
{
    if (!is_cold(now))
    {
        return true;
    }
    if (admitted_ + 1.0 > permitted_since_start(now))
    {
        return false;
    }
    admitted_ += 1.0;
    return true;
}

duration start_ramp::wait_time(time_point now) const
{
    if (!is_cold(now))
    {
        return duration{0};
    }
    const double missing = std::max(0.0, admitted_ + 1.0 - permitted_since_start(now));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / start_per_s_));
}

} // namespace carawayshelf
