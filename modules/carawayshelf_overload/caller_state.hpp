#pragma once

#include "carawayshelf_core/name_table.hpp"

namespace carawayshelf
{

/** How a backend server answers the requests of some callers. */
enum class caller_state
{
    good,
    doubtful, ///< New flows with non-idempotent requests go elsewhere first.
    failing   ///< It gets trials, and flows that find no other room.
};

inline constexpr name_table<caller_state, 3> caller_state_names{{"good", "doubtful", "failing"}};

/** Kind of a bad answer of a backend server. */
enum class bad_answer
{
    fast,  ///< It took less than a quarter of the usual time.
    silent ///< No answer has begun long after the usual time.
};

inline constexpr name_table<bad_answer, 2> bad_answer_names{{"fast", "silent"}};

} // namespace carawayshelf
