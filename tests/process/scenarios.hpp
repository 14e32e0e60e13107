#pragma once

#include "deployment.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace carawayshelf::process_tests
{

/** A scenario and the time of its first event. */
using timed_scenario = std::pair<std::string, duration>;

/** Names of all scenarios: planned work, and daemons that are killed, frozen or slowed down. */
std::vector<std::string> scenario_names();

/** Schedules a scenario at a time after the start of the traffic. Returns false if its name is
    unknown. */
bool schedule_scenario(deployment& site, const timed_scenario& scenario);

/** Which scenarios are drawn. */
enum class scenario_choice
{
    mixed,   ///< Most failures and planned work.
    planned, ///< Planned work only.
    all
};

/** Draws three to six scenarios, with times in the first part of the traffic. */
std::vector<timed_scenario> draw_scenarios(std::uint64_t seed, duration traffic_time,
                                           scenario_choice choice);

} // namespace carawayshelf::process_tests
