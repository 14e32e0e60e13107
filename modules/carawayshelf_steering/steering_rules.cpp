#include "carawayshelf_steering/steering_rules.hpp"

namespace carawayshelf
{

namespace
{

bool was_visited(const std::vector<visit>& visits, member_id member, generation row_generation)
{
    for (const visit& past_visit : visits)
    {
        if (past_visit.member == member && past_visit.row_generation == row_generation)
        {
            return true;
        }
    }
    return false;
}

} // namespace

steering_decision decide_steering(member_id self, bool holds_flow, const bucket_row& row,
                                  const std::vector<visit>& visits, std::uint8_t hops)
{
    if (holds_flow)
    {
        return {steering_action::serve, 0};
    }
    if (row.owner == 0)
    {
        return {steering_action::drop_no_owner, 0};
    }
    if (row.owner == self)
    {
        for (const earlier_owner& candidate : row.earlier)
        {
            if (!was_visited(visits, candidate.member, row.changed_at))
            {
                return hops < max_hops
                           ? steering_decision{steering_action::forward_to_earlier_owner,
                                               candidate.member}
                           : steering_decision{steering_action::drop_too_many_hops, 0};
            }
        }
        return {steering_action::adopt, 0};
    }
    if (hops >= max_hops)
    {
        return {steering_action::drop_too_many_hops, 0};
    }
    return {steering_action::forward_to_owner, row.owner};
}

} // namespace carawayshelf
