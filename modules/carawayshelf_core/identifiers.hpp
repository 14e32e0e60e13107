#pragma once

#include <cstdint>

namespace carawayshelf
{

/** Number of a service in the replicated state. Zero means "none". */
using service_id = std::uint32_t;

/** Number of one incarnation of an agent. A restarted agent gets a new number; numbers are never
    reused. Zero means "none". */
using member_id = std::uint32_t;

/** Version of the replicated tables: the log index of the last change applied. Never decreases. */
using generation = std::uint64_t;

} // namespace carawayshelf
