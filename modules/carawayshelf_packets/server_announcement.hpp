#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** What a backend server announces about itself. */
struct server_announcement
{
    std::string id;
    std::string service;
    endpoint address;             ///< Where it receives the packets of its flows.
    std::uint64_t started_at = 0; ///< Start time of this incarnation, by the server's own clock.
    std::uint64_t sequence = 0;   ///< Increases with each announcement of an incarnation.
    bool is_draining = false;
    duration cold_for{0}; ///< Remaining time during which it can serve few requests only.
    std::uint32_t slots = 1;
};

/** What an agent did with an announcement. */
enum class announcement_verdict
{
    applied,
    repeated, ///< Ignored: it is not newer than what is known.
    foreign   ///< Ignored: it is not of the agent's own backend server.
};

inline constexpr name_table<announcement_verdict, 3> announcement_verdict_names{
    {"applied", "repeated", "foreign"}};

} // namespace carawayshelf
