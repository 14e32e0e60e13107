#pragma once

#include "carawayshelf_core/identifiers.hpp"
#include "carawayshelf_steering/earlier_owners.hpp"

#include <cstddef>

namespace carawayshelf
{

/** Most earlier owners that a bucket lists. A bucket with a full list is not moved on purpose. */
constexpr std::size_t max_earlier_owners = 4;

/** Who serves the flows of one bucket of one service. */
struct bucket_row
{
    generation changed_at = 0; ///< Generation that last changed this row.
    member_id owner = 0;       ///< Admits new flows; zero when no member can.
    member_id second_choice =
        0;                  ///< Second choice for new flows, and successor if the owner crashes.
    earlier_owners earlier; ///< Latest first; they keep their flows to the end.

    /** Whether the member is listed among the earlier owners. */
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
