#pragma once

#include "carawayshelf_steering/bucket_row.hpp"

#include <cstdint>
#include <vector>

namespace carawayshelf
{

/** Maximum number of times that a datagram is forwarded between agents; after that it is dropped.
    The caller's retransmission starts again with zero hops. */
constexpr std::uint8_t max_hops = 8;

/** Records that a datagram reached an agent that did not hold its flow. Valid only at this row
    generation: at a later one, the member may have owned the bucket again and adopted the flow. */
struct visit
{
    member_id member = 0;
    generation row_generation = 0;
};

/** What an agent does with a datagram. */
enum class steering_action
{
    serve,                    ///< This agent holds the flow.
    adopt,                    ///< The flow is new and this agent adopts it.
    forward_to_earlier_owner, ///< An earlier owner may hold the flow.
    forward_to_owner,         ///< This agent does not hold the flow, and another owns the bucket.
    drop_no_owner,            ///< The bucket has no owner.
    drop_too_many_hops
};

/** A steering action, and the member to forward to; zero for actions that do not forward. */
struct steering_decision
{
    steering_action action = steering_action::drop_no_owner;
    member_id next = 0;
};

/** Decides what an agent does with a received datagram.

    @param self        the agent's own member id
    @param holds_flow  whether the agent holds the flow
    @param row         the newest row of the flow's bucket, from the agent's table or the envelope;
                       once the agent has a row with another owner, it adopts no more flows of the
                       bucket
    @param visits      the visits listed in the envelope
    @param hops        how often the datagram has been forwarded so far

    Thread-safe. See docs/DESIGN.md, "Steering", for the rules and their reasons.
*/
steering_decision decide_steering(member_id self, bool holds_flow, const bucket_row& row,
                                  const std::vector<visit>& visits, std::uint8_t hops);

} // namespace carawayshelf
