#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** What a backend server announces about itself. */
struct server_announcement
{
    std::string id;
    std::string service;
    std::uint64_t started_at = 0; ///< Start time of this incarnation, by the server's own clock.
    std::uint64_t sequence = 0;   ///< Increases with each announcement of an incarnation.
    bool is_draining = false;
    duration cold_for{0}; ///< Remaining time during which it can serve few requests only.
    std::uint32_t slots = 1;
};

} // namespace carawayshelf
