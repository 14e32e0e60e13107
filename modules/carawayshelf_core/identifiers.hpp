#pragma once

#include <cstdint>

namespace carawayshelf
{

/** Number of a service in the replicated state. Zero stands for "none". */
using service_id = std::uint32_t;

/** Number of one incarnation of an agent. A restarted agent gets a new number, so a number is
    never used twice. Zero stands for "none". */
using member_id = std::uint32_t;

/** Version of the replicated tables: the log index of the change that made them. Never goes back.
 */
using generation = std::uint64_t;

} // namespace carawayshelf
