#pragma once

#include "carawayshelf_steering/bucket_row.hpp"

#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Most times a datagram may pass between agents before it is dropped and counted; the caller's
    retransmission then starts afresh. */
constexpr std::uint8_t max_hops = 8;

/** Proof that an agent was asked about a flow and did not know it. It holds for the row generation
    it was made at and for no other, since an owner can return to a bucket. */
struct visit
{
    member_id member = 0;
    generation row_generation = 0;
};

/** What an agent does with a datagram. */
enum class steering_action
{
    serve,                    ///< The flow is its own.
    adopt,                    ///< The flow is new and this agent admits it.
    forward_to_earlier_owner, ///< An earlier owner may hold the flow: ask it.
    forward_to_owner,         ///< The flow is unknown here, and another agent owns the bucket.
    drop_no_owner,            ///< The bucket has no owner.
    drop_too_many_hops
};

/** A steering action, and the member to pass to where there is one. */
struct steering_decision
{
    steering_action action = steering_action::drop_no_owner;
    member_id next = 0;
};

/** Decides on a datagram that reached an agent.

    @param self    the agent's own member id
    @param known   whether the agent holds the flow
    @param row     the newest row of the flow's bucket, of the agent's table and the envelope; by
                   holding a row that names another owner, the agent has closed the bucket
    @param visits  the visits that the envelope lists
    @param hops    how often the datagram was passed on before

    Thread-safe. See docs/DESIGN.md, "Steering", for the rules and why they hold.
*/
steering_decision decide_steering(member_id self, bool holds_flow, const bucket_row& row,
                                  const std::vector<visit>& visits, std::uint8_t hops);

} // namespace carawayshelf
