#pragma once

#include "carawayshelf_steering/bucket_row.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayshelf
{

/** A member as the assignment sees it. Only members that are live, and whose failure domain is in
    service, are passed; any other member loses its buckets and its place as an earlier owner. */
struct assignment_member
{
    member_id id = 0;
    std::string domain;
    std::uint32_t weight = 0; ///< Relative share of new flows; zero for a member that drains.
};

/** Brings the rows of one service in line with its members, moving as few buckets as it can.

    Deterministic: equal arguments give equal rows on every control instance.
    - A bucket whose owner is gone goes to its second choice.
    - A bucket whose owner drains, or has too many, moves; the old owner is listed as earlier.
    - Each row that changes is stamped with the given generation.

    Precondition: member ids are unique and in ascending order. Not thread-safe for the same rows.
*/
void assign_buckets(std::vector<bucket_row>& rows, const std::vector<assignment_member>& members,
                    generation now);

/** Removes a member from a bucket's earlier owners, if it reported "closed and empty" at a
    generation that is not older than its retirement. Returns whether the row changed. */
bool release_bucket(bucket_row& row, member_id member, generation reported_at, generation now);

} // namespace carawayshelf
