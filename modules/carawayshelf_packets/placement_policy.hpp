#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstddef>

namespace carawayshelf
{

/** How a balancer chooses among the members of a service, with regard to uneven load, lost failure
    domains and slow links between failure domains. */
struct placement_policy
{
    /** A new flow goes to one of the members with the highest rank for the flow, at most this many,
        however many members the service has. They are so few that a balancer that does not know the
        flow can search all of them, and so many that one of them has a free slot. */
    std::size_t placement_ranked_members = 8;

    /** How many of placement_ranked_members are in the balancer's own failure domain, if it has
        that many. Traffic between failure domains is costly, and a failure domain that is lost
        loses its balancers together with its agents. */
    std::size_t placement_local_members = 4;

    /** A flow that is not in the cache is first looked for at this many members, half of them in
        the balancer's own failure domain. More than placement_ranked_members, because members may
        have joined since the flow was placed. */
    std::size_t max_search_candidates = 12;

    /** Maximum number of candidates for a new flow. If the first one cannot admit the flow, the
        others are tried in turn. */
    std::size_t max_placement_candidates = 4;

    /** A member of another failure domain is preferred only if the expected time of a request is
        shorter there by more than this: the round trips take some milliseconds, and traffic between
        failure domains is costly. */
    duration foreign_domain_cost = std::chrono::milliseconds(10);
};

} // namespace carawayshelf
