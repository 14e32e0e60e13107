#include "carawayshelf_io/decision_log.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <string>
#include <utility>

namespace carawayshelf
{

void decision_log::record(const packet_decision& decision)
{
    const time_point now = steady_now();
    if (now - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = now;
        lines_this_second_ = 0;
    }
    if (lines_this_second_ >= max_lines_per_second)
    {
        ++suppressed_lines_;
        return;
    }
    ++lines_this_second_;
    std::string line =
        std::string(decision.action) + " (" + std::string(decision.reason) + ") " +
        (decision.is_opening ? "opening " : "packet ") + "of flow " +
        to_string(decision.flow.client) + " to " + to_string(decision.flow.service) + ", table " +
        std::to_string(decision.held) + ", sender's " + std::to_string(decision.envelope_held) +
        ", candidate " + std::to_string(decision.position + 1) + " of " +
        std::to_string(decision.candidate_count) + ", load " + std::to_string(decision.load);
    if (suppressed_lines_ != 0)
    {
        line += "; " + std::to_string(std::exchange(suppressed_lines_, 0)) +
                " decisions suppressed before";
    }
    log_info(line);
}

} // namespace carawayshelf
