#include "carawayshelf_io/decision_log.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <string>
#include <utility>

namespace carawayshelf
{

bool decision_log::try_start_line(std::uint32_t& lines_this_second)
{
    const time_point now = steady_now();
    if (now - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = now;
        lines_this_second_ = 0;
        state_lines_this_second_ = 0;
    }
    if (lines_this_second >= max_lines_per_second)
    {
        ++suppressed_lines_;
        return false;
    }
    ++lines_this_second;
    return true;
}

void decision_log::record(const packet_decision& decision)
{
    if (!try_start_line(lines_this_second_))
    {
        return;
    }
    log_line(std::string(decision.action) + " (" + std::string(decision.reason) + ") " +
             (decision.is_opening ? "opening " : "packet ") + "of flow " +
             to_string(decision.flow.client) + " to " + to_string(decision.flow.service) +
             ", table " + std::to_string(decision.held) + ", sender's " +
             std::to_string(decision.envelope_held) + ", candidate " +
             std::to_string(decision.position + 1) + " of " +
             std::to_string(decision.candidate_count) + ", load " + std::to_string(decision.load));
}

void decision_log::record_state(const load_state_change& change)
{
    if (try_start_line(state_lines_this_second_))
    {
        log_line(std::string(change.part) + " " + std::string(change.state) + ": " + change.inputs);
    }
}

void decision_log::log_line(std::string line)
{
    if (suppressed_lines_ != 0)
    {
        line += "; " + std::to_string(std::exchange(suppressed_lines_, 0)) +
                " decisions suppressed before";
    }
    log_info(line);
}

} // namespace carawayshelf
