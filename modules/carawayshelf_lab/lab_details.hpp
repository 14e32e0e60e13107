#pragma once

#include "carawayshelf_lab/lab_report.hpp"

#include <string>
#include <vector>

namespace carawayshelf::lab
{

/** Formats what format_table() leaves out: for each policy, the requests of each kind that were
   late or failed, and the requests of servers in the first seconds after their start. */
std::string format_details(const lab_scenario& scenario, const std::vector<policy_result>& results);

} // namespace carawayshelf::lab
