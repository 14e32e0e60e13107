#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_packets/service_meter.hpp"

#include <cstdint>
#include <unordered_map>

namespace carawayshelf
{

/** What a balancer knows of an agent's load. */
struct load_estimate
{
    /** What a new request would take, waiting included: by the requests under way, as reported, and
        those sent there since. */
    duration expected{0};
    bool is_closed = false;
    bool is_cold = false;
    bool is_suspect = false; ///< Its reports have stopped.
};

/** The agents' load reports at a balancer, with what it has placed since each. Not thread-safe. */
class load_board
{
public:
    /** Without a report for this long an agent is suspect: three reports in a row are missing. */
    static constexpr duration suspect_after = std::chrono::milliseconds(350);

    /** What an agent reports of itself. */
    struct report
    {
        double load = 0.0;
        duration service_time = first_service_time; ///< Of a request that finds a free slot.
        std::uint32_t slots = 1;
        bool is_closed = false;
        bool is_cold = false;
    };

    void take_report(time_point now, const endpoint& agent, const report& told);

    /** This balancer has sent a new flow there. */
    void note_placed(time_point now, const endpoint& agent);

    /** An agent that never reported counts as idle and not suspect. */
    load_estimate estimate(time_point now, const endpoint& agent) const;

    /** Forgets agents without a report for a long time. */
    void expire(time_point now);

private:
    static constexpr duration forget_after = std::chrono::seconds(30);

    struct entry
    {
        report told;
        double placed = 0.0;
        time_point reported;
    };

    std::unordered_map<endpoint, entry> entries_;
};

} // namespace carawayshelf
