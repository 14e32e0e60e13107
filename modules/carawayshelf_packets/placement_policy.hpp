#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstddef>

namespace carawayshelf
{

/** How a balancer picks among the members of a service. Answers uneven load, lost failure domains,
    and thin links between failure domains. */
struct placement_policy
{
    /** A new flow goes to one of the members that rank first for it, however many the service has:
        few enough that a balancer which has not heard of the flow asks only them, and enough that
        one of them has a free slot. */
    std::size_t placement_ranked_members = 8;

    /** So many of them are of the own failure domain, if it has them: bytes between failure domains
        cost, and balancers of a failure domain that is lost are lost with its agents. */
    std::size_t placement_local_members = 4;

    /** A flow that was not heard of is looked for first among these, half of the own failure
       domain; more than placement_ranked_members, since members may have joined after it was
       placed. */
    std::size_t max_search_candidates = 12;

    /** Candidates for a new flow: where the first can't take it, the others are asked in turn. */
    std::size_t max_placement_candidates = 4;

    /** A member of another failure domain is preferred when a request would take this much less
        there: both ways to it and back take some milliseconds, and bytes between failure domains
        cost. */
    duration foreign_domain_cost = std::chrono::milliseconds(10);
};

} // namespace carawayshelf
