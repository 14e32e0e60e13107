#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** Flows that were added within a fixed time. Not thread-safe. */
class recent_flows
{
public:
    /** Maximum number of flows; the oldest are forgotten first. */
    static constexpr std::size_t capacity = 8192;

    /** @param lifetime  flows are forgotten after this */
    explicit recent_flows(duration lifetime) : lifetime_(lifetime)
    {
    }

    void add(time_point now, const packet_flow& flow)
    {
        added_at_[flow] = now;
        oldest_first_.emplace_back(now, flow);
        while (oldest_first_.size() > capacity || now - oldest_first_.front().first >= lifetime_)
        {
            forget_oldest();
        }
    }

    bool contains(time_point now, const packet_flow& flow) const
    {
        const auto found = added_at_.find(flow);
        return found != added_at_.end() && now - found->second < lifetime_;
    }

    void remove(const packet_flow& flow)
    {
        added_at_.erase(flow);
    }

private:
    void forget_oldest()
    {
        const auto& [at, flow] = oldest_first_.front();
        const auto found = added_at_.find(flow);
        if (found != added_at_.end() && found->second == at)
        {
            added_at_.erase(found);
        }
        oldest_first_.pop_front();
    }

    duration lifetime_;
    std::unordered_map<packet_flow, time_point, packet_flow_hasher> added_at_;
    std::deque<std::pair<time_point, packet_flow>> oldest_first_;
};

} // namespace carawayshelf
