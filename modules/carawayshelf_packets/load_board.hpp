#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"

#include <unordered_map>

namespace carawayshelf
{

/** What a balancer knows of an agent's load. */
struct load_estimate
{
    double load = 0.0; ///< Requests under way, as reported, and those sent there since.
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

    void take_report(time_point now, const endpoint& agent, double load, bool is_closed,
                     bool is_cold);

    /** This balancer has sent a new flow there. */
    void note_placed(const endpoint& agent);

    /** An agent that never reported counts as idle and not suspect. */
    load_estimate estimate(time_point now, const endpoint& agent) const;

    /** Forgets agents without a report for a long time. */
    void expire(time_point now);

private:
    static constexpr duration forget_after = std::chrono::seconds(30);

    struct entry
    {
        double load = 0.0;
        double placed = 0.0;
        bool is_closed = false;
        bool is_cold = false;
        time_point reported;
    };

    std::unordered_map<endpoint, entry> entries_;
};

} // namespace carawayshelf
