#include "carawayshelf_packets/settle_tracker.hpp"

#include <iterator>

namespace carawayshelf
{

void settle_tracker::handle_table(time_point now, const packet_table& before,
                                  const packet_table& next, const std::string& service)
{
    const bool is_first_table = before.held() == 0;
    const bool was_member = is_member_;
    is_member_ = next.has_agent(agent_);
    if (is_member_ && !was_member)
    {
        // If the first table has this member, the agent has restarted and the others know the
        // member already.
        membership_settled_at_ = is_first_table ? now : now + settle_time;
    }
    for (auto item = newly_routed_since_.begin(); item != newly_routed_since_.end();)
    {
        item =
            now - item->second >= settle_time ? newly_routed_since_.erase(item) : std::next(item);
    }
    if (next.has_routes_of(before))
    {
        return;
    }
    for (const endpoint& address : next.addresses_routing_new_flows_to(service))
    {
        const packet_route* route_before = before.find_route(address);
        if (route_before != nullptr && !before.may_hold_flows(*route_before, service))
        {
            newly_routed_since_[address] = now;
        }
    }
}

bool settle_tracker::is_settled(time_point now, const endpoint& address) const
{
    const auto newly_routed = newly_routed_since_.find(address);
    const bool is_newly_routed =
        newly_routed != newly_routed_since_.end() && now - newly_routed->second < settle_time;
    return is_member_ && now >= membership_settled_at_ && !is_newly_routed;
}

} // namespace carawayshelf
