#pragma once

#include "carawayshelf_steering/bucket_row.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayshelf
{

/** A member that takes part in the assignment. Pass only live members whose failure domain is in
    service; any other member loses its buckets and is removed from the earlier owners. */
struct assignment_member
{
    member_id id = 0;
    std::string domain;
    std::uint32_t weight = 0; ///< Relative share of new flows; zero for a draining member.
};

/** Assigns the buckets of one service to its members, moving as few buckets as possible.

    Deterministic: equal arguments give equal rows on every control instance.
    - A bucket whose owner is no longer a member goes to its second choice, or to another member
      if the second choice is not eligible.
    - A bucket whose owner drains, or owns too many buckets, moves to another member; the old owner
      becomes an earlier owner.
    - Every row that changes gets the generation `now`.

    Precondition: member ids are unique and in ascending order. Not thread-safe for the same rows.
*/
void assign_buckets(std::vector<bucket_row>& rows, const std::vector<assignment_member>& members,
                    generation now);

/** Removes a member from the earlier owners of a bucket, after it has reported that it holds no
    flows of the bucket and adopts no more. A report that it made before it lost the bucket has no
    effect, because it may have adopted flows since.

    @param reported_at  row generation at which the member made the report
    @param now          generation that a changed row gets
    @returns whether the row changed
*/
bool release_bucket(bucket_row& row, member_id member, generation reported_at, generation now);

} // namespace carawayshelf
