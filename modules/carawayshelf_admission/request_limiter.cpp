#include "carawayshelf_admission/request_limiter.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

/** Share of the queue that a service class may use, in quarters. */
std::size_t queue_quarters(service_class traffic_class)
{
    switch (traffic_class)
    {
    case service_class::critical:
        return 4;
    case service_class::normal:
        return 2;
    case service_class::deferrable:
        return 1;
    }
    return 1;
}

} // namespace

void request_limiter::configure(const service_entry& entry, std::uint32_t share)
{
    slots_ = std::max<std::size_t>(1, std::min(entry.limits.server_slots, share));
    queue_length_ = entry.limits.server_queue * queue_quarters(entry.traffic_class) / 4;
    ramp_.configure(entry.limits.ramp_start_per_s, std::chrono::milliseconds(entry.limits.ramp_ms));
}

void request_limiter::server_started(time_point now)
{
    ramp_.restart(now);
}

admission_decision request_limiter::submit(time_point now, const exchange_key& key,
                                           time_point deadline)
{
    if (deadline <= now)
    {
        return {admission_verdict::refuse, refusal_reason::deadline_passed};
    }
    if (running_ < slots_ && queue_.empty() && ramp_.try_admit(now))
    {
        ++running_;
        return {admission_verdict::run, {}};
    }
    if (queue_.size() >= queue_length_)
    {
        return {admission_verdict::refuse,
                ramp_.is_cold(now) ? refusal_reason::server_cold : refusal_reason::queue_full};
    }
    queue_.emplace(deadline, key);
    return {admission_verdict::queue, {}};
}

void request_limiter::release_slot()
{
    running_ -= running_ > 0 ? 1 : 0;
}

std::optional<exchange_key> request_limiter::start_next(time_point now)
{
    if (running_ >= slots_ || queue_.empty() || queue_.begin()->first <= now ||
        !ramp_.try_admit(now))
    {
        return std::nullopt;
    }
    const exchange_key key = queue_.begin()->second;
    queue_.erase(queue_.begin());
    ++running_;
    return key;
}

std::vector<exchange_key> request_limiter::expire(time_point now)
{
    std::vector<exchange_key> expired;
    while (!queue_.empty() && queue_.begin()->first <= now)
    {
        expired.push_back(queue_.begin()->second);
        queue_.erase(queue_.begin());
    }
    return expired;
}

std::vector<exchange_key> request_limiter::reset()
{
    std::vector<exchange_key> dropped;
    for (const std::pair<const time_point, exchange_key>& item : queue_)
    {
        dropped.push_back(item.second);
    }
    queue_.clear();
    running_ = 0;
    return dropped;
}

} // namespace carawayshelf
