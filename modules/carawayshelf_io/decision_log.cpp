#include "carawayshelf_io/decision_log.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <string>
#include <utility>

namespace carawayshelf
{

void decision_log::note(const packet_decision& decision)
{
    const time_point now = steady_now();
    if (now - second_ >= std::chrono::seconds(1))
    {
        second_ = now;
        lines_ = 0;
    }
    if (lines_ >= lines_per_second)
    {
        ++left_out_;
        return;
    }
    ++lines_;
    std::string line =
        std::string(decision.what) + " (" + std::string(decision.reason) + ") " +
        (decision.is_opening ? "opening " : "packet ") + "of flow " +
        to_string(decision.flow.client) + " to " + to_string(decision.flow.service) + ", table " +
        std::to_string(decision.held) + ", sender's " + std::to_string(decision.envelope_held) +
        ", candidate " + std::to_string(decision.position + 1) + " of " +
        std::to_string(decision.candidate_count) + ", load " + std::to_string(decision.load);
    if (left_out_ != 0)
    {
        line += "; " + std::to_string(std::exchange(left_out_, 0)) + " decisions left out before";
    }
    log_info(line);
}

} // namespace carawayshelf
