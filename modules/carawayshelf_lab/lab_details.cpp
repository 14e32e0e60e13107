#include "carawayshelf_lab/lab_details.hpp"

#include <iomanip>
#include <sstream>

namespace carawayshelf::lab
{

std::string format_details(const lab_scenario& scenario, const std::vector<policy_result>& results)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    for (const policy_result& result : results)
    {
        out << '\n' << result.policy() << '\n';
        for (std::size_t i = 0; i < scenario.requests.size(); ++i)
        {
            const outcome_counts& counts = result.of_kind(i);
            out << "  " << scenario.requests[i].name << ": " << counts.requests << " requests, "
                << counts.late << " late, " << counts.failed << " failed\n";
        }
        const server_start_statistics& starts = result.server_starts();
        if (starts.starts() == 0)
        {
            continue;
        }
        out << "  second after a start, requests of a server (" << starts.starts()
            << " starts), their mean time in ms\n";
        for (std::size_t second = 0; second < server_start_statistics::recorded_seconds; ++second)
        {
            out << std::setw(6) << second + 1 << std::setw(10) << starts.requests_per_server(second)
                << std::setw(10) << starts.mean_time_ms(second) << '\n';
        }
    }
    return out.str();
}

} // namespace carawayshelf::lab
