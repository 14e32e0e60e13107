#include "carawayshelf_overload/offered_load_meter.hpp"

#include <algorithm>
#include <cmath>

namespace carawayshelf
{

void offered_load_meter::record_opening(time_point now, std::uint32_t priority)
{
    openings_[std::min(priority, max_priority)].add(now, 1.0);
}

void offered_load_meter::record_refused_opening(time_point now, std::uint32_t priority,
                                                bool was_recorded)
{
    openings_[std::min(priority, max_priority)].add(now, refused_opening_weight -
                                                             (was_recorded ? 1.0 : 0.0));
}

double offered_load_meter::rate_ahead(time_point now, std::uint32_t priority) const
{
    double sum = open_flows_.per_second(now);
    const auto end = openings_.lower_bound(std::min(priority, max_priority));
    for (auto item = openings_.begin(); item != end; ++item)
    {
        sum += item->second.per_second(now);
    }
    return sum;
}

double offered_load_meter::rate_of(time_point now, std::uint32_t priority) const
{
    const auto found = openings_.find(std::min(priority, max_priority));
    return found == openings_.end() ? 0.0 : found->second.per_second(now);
}

double offered_load_meter::total_rate(time_point now) const
{
    double sum = open_flows_.per_second(now);
    for (const auto& [priority, rate] : openings_)
    {
        sum += rate.per_second(now);
    }
    return sum;
}

void offered_load_meter::average_rate::add(time_point now, double weight)
{
    per_second_ = std::max(0.0, per_second(now) +
                                    weight / std::chrono::duration<double>(time_constant).count());
    updated_at_ = now;
}

double offered_load_meter::average_rate::per_second(time_point now) const
{
    const std::chrono::duration<double> age = now - updated_at_;
    const std::chrono::duration<double> constant = time_constant;
    return per_second_ * std::exp(-std::max(0.0, age.count()) / constant.count());
}

} // namespace carawayshelf
