#pragma once

#include "carawayshelf_consensus/message.hpp"

#include <map>
#include <set>
#include <vector>

namespace carawayshelf
{

/** Instances that agree to something, each with the identities that it knew to be lost when it
    agreed. An identity is lost once an instance without its disk runs in its slot. */
using agreement = std::map<instance_id, std::set<instance_id>>;

/** A list of voters. */
struct voter_list
{
    std::vector<instance_id> voters;
    bool counts_losses = false; ///< See log_record::counts_losses.
};

/** Whether a list includes an instance. Thread-safe. */
bool contains(const std::vector<instance_id>& instances, instance_id searched);

/** Whether the instances that agree are a quorum of the voters: more than half of them or, of an
    even number of voters that count losses, one half, each of which knew the same voter to be lost.

    Any two quorums have a member in common. Otherwise they would be two halves A and B; A knew that
    b, in B, was lost, and B knew that a, in A, was. An identity agrees to nothing after its loss,
    so b agreed before its loss, which a knew of when it agreed, before its own loss, which b knew
    of when it agreed: each would have agreed before the other. Thread-safe. */
bool is_quorum_of(const voter_list& list, const agreement& agreeing);

} // namespace carawayshelf
