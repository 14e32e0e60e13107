#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/packet_table.hpp"

#include <string>
#include <unordered_map>

namespace carawayshelf
{

/** Tracks at an agent whether all processes that can reset flows know that it may hold flows of a
    route. Not thread-safe. */
class settle_tracker
{
public:
    /** Maximum time until all processes that can reset flows know a change: a follower hears from
        its leader within 300 ms, a control instance batches changes for 100 ms, and an agent hears
        from its control instance within packet_agent::max_confirmation_age.
        A new member, or a member of a service to which a route has newly been assigned, admits new
        flows only after this time. So an agent that resets a flow by a fresh table has sent an
        inquiry to every member that can hold the flow. */
    static constexpr duration settle_time = std::chrono::milliseconds(800);

    /** @param agent  address of the agent */
    explicit settle_tracker(const endpoint& agent) : agent_(agent)
    {
    }

    /** Handles a table before it replaces another one.
        @param service  of the agent's backend server */
    void handle_table(time_point now, const packet_table& before, const packet_table& next,
                      const std::string& service);

    /** Whether new flows to the address of a route can be admitted. */
    bool is_settled(time_point now, const endpoint& address) const;

private:
    endpoint agent_;
    time_point membership_settled_at_; ///< From then on all others know this member.
    bool is_member_ = false;
    /** Addresses of routes that were assigned to the service less than settle_time ago. */
    std::unordered_map<endpoint, time_point> newly_routed_since_;
};

} // namespace carawayshelf
