#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** Flows of which the backend server has returned a packet, so that it doesn't hold them. Such a
   flow can't come to the server later, except by an opening packet. Not thread-safe. */
class returned_flows
{
public:
    /** Maximum number of flows; the oldest are forgotten first. */
    static constexpr std::size_t capacity = 8192;

    /** Flows are forgotten after this: longer than clients go on to retransmit a packet. */
    static constexpr duration lifetime = std::chrono::seconds(10);

    void add(time_point now, const packet_flow& flow)
    {
        returned_at_[flow] = now;
        oldest_first_.emplace_back(now, flow);
        while (oldest_first_.size() > capacity || now - oldest_first_.front().first >= lifetime)
        {
            forget_oldest();
        }
    }

    bool contains(time_point now, const packet_flow& flow) const
    {
        const auto found = returned_at_.find(flow);
        return found != returned_at_.end() && now - found->second < lifetime;
    }

    /** The backend server may get the flow: an opening packet of it was admitted. */
    void remove(const packet_flow& flow)
    {
        returned_at_.erase(flow);
    }

private:
    void forget_oldest()
    {
        const auto& [added_at, flow] = oldest_first_.front();
        const auto found = returned_at_.find(flow);
        if (found != returned_at_.end() && found->second == added_at)
        {
            returned_at_.erase(found);
        }
        oldest_first_.pop_front();
    }

    std::unordered_map<packet_flow, time_point, packet_flow_hasher> returned_at_;
    std::deque<std::pair<time_point, packet_flow>> oldest_first_;
};

} // namespace carawayshelf
