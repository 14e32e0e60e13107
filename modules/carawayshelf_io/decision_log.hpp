#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/packet_observer.hpp"

#include <cstdint>

namespace carawayshelf
{

/** Writes decisions about packets to the log, a bounded number of lines a second; the number of
    those left out follows in the next line. Not thread-safe. */
class decision_log : public packet_observer
{
public:
    void note(const packet_decision& decision) override;

private:
    /** Lines of one second: what a person reads, at little processor time. */
    static constexpr std::uint32_t max_lines_per_second = 20;

    time_point second_start_;
    std::uint32_t lines_this_second_ = 0;
    std::uint64_t suppressed_lines_ = 0;
};

} // namespace carawayshelf
