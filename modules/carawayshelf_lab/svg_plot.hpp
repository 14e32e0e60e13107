#pragma once

#include "carawayshelf_lab/lab_report.hpp"

#include <string>
#include <vector>

namespace carawayshelf::lab
{

/** Plots the share of requests in time by second, as a line for each policy, and the worth by kind
    of request, as a group of bars for each kind. Returns an SVG document. */
std::string plot_results(const lab_scenario& scenario, const std::vector<policy_result>& results);

} // namespace carawayshelf::lab
