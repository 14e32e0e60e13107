#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/packet_observer.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** Logs decisions about packets, and changes of state, each up to a limit of lines per second, so
    that many decisions don't suppress the changes that explain them. The next line states how many
    were suppressed. Not thread-safe. */
class decision_log : public packet_observer
{
public:
    void record(const packet_decision& decision) override;
    void record_state(const load_state_change& change) override;

private:
    /** Whether another line may be logged in this second. If not, the line counts as suppressed.
        @param lines_this_second  of its kind */
    bool try_start_line(std::uint32_t& lines_this_second);
    void log_line(std::string line);

    /** As many as a person can read; more would only cost CPU time. */
    static constexpr std::uint32_t max_lines_per_second = 20;

    time_point second_start_;
    std::uint32_t lines_this_second_ = 0;
    std::uint32_t state_lines_this_second_ = 0;
    std::uint64_t suppressed_lines_ = 0;
};

} // namespace carawayshelf
