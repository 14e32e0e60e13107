#pragma once

#include "carawayshelf_lab/lab_report.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"

#include <string>
#include <vector>

namespace carawayshelf::lab
{

/** Formats the late and failed requests of each policy by kind, and the largest number of new flows
    in 100 ms from the scenario's first event on, as a text table. */
std::string format_kind_table(const lab_scenario& scenario,
                              const std::vector<policy_result>& results);

} // namespace carawayshelf::lab
