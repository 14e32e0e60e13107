#pragma once

#include "carawayshelf_core/identifiers.hpp"
#include "carawayshelf_steering/earlier_owners.hpp"

#include <cstddef>

namespace carawayshelf
{

/** Maximum number of earlier owners of a bucket. A bucket with a full list is not moved to balance
    the load. */
constexpr std::size_t max_earlier_owners = 4;

/** The members that serve the flows of one bucket of one service. */
struct bucket_row
{
    generation changed_at = 0; ///< Generation that last changed this row.
    member_id owner = 0;       ///< Adopts new flows; zero if no member can.
    /** Alternative member for new flows, and the next owner if the owner crashes. */
    member_id second_choice = 0;
    earlier_owners earlier; ///< Latest first. They keep their flows until these end.

    /** Whether the member is one of the earlier owners. */
    bool has_earlier(member_id member) const
    {
        for (const earlier_owner& candidate : earlier)
        {
            if (candidate.member == member)
            {
                return true;
            }
        }
        return false;
    }
};

inline bool operator==(const bucket_row& a, const bucket_row& b)
{
    return a.changed_at == b.changed_at && a.owner == b.owner &&
           a.second_choice == b.second_choice && a.earlier == b.earlier;
}

} // namespace carawayshelf
