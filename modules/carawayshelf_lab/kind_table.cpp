#include "carawayshelf_lab/kind_table.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace carawayshelf::lab
{

std::string format_kind_table(const lab_scenario& scenario,
                              const std::vector<policy_result>& results)
{
    duration first_event = scenario.events.empty() ? duration(0) : scenario.length;
    for (const lab_event& event : scenario.events)
    {
        first_event = std::min(first_event, event.at);
    }
    std::ostringstream out;
    out << "late and failed of all requests; new flows in the busiest 100 ms of a run\n"
        << std::left << std::setw(22) << "policy";
    for (const lab_request_kind& kind : scenario.requests)
    {
        out << std::right << std::setw(24) << kind.name;
    }
    out << std::setw(11) << "new flows" << '\n';
    for (const policy_result& result : results)
    {
        out << std::left << std::setw(22) << result.policy() << std::right;
        for (std::size_t i = 0; i < scenario.requests.size(); ++i)
        {
            const outcome_counts& counts = result.of_kind(i);
            out << std::setw(24)
                << std::to_string(counts.late) + " + " + std::to_string(counts.failed) + " of " +
                       std::to_string(counts.requests);
        }
        out << std::fixed << std::setprecision(1) << std::setw(11)
            << result.peak_openings(first_event) << '\n';
    }
    return out.str();
}

} // namespace carawayshelf::lab
