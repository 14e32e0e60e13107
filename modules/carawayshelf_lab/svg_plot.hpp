#pragma once

#include "carawayshelf_lab/lab_report.hpp"

#include <string>
#include <vector>

namespace carawayshelf::lab
{

/** A plot of the share in time by second, a line for each policy, and of the worth by kind of
    request, a group of bars for each kind. Returns an SVG document. */
std::string plot_results(const lab_scenario& scenario, const std::vector<policy_result>& results);

} // namespace carawayshelf::lab
