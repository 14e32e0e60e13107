#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_packets/service_time_meter.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** What a balancer knows of an agent's load. */
struct load_estimate
{
    /** What a new request would take, waiting included: by the requests under way, as last told,
       and those sent there since. */
    duration expected_time{0};
    bool is_closed = false;
    bool is_cold = false;
    bool is_failing = false; ///< Its backend server seems to fail what it gets.
    bool is_suspect = false; ///< It has left something unanswered.
    bool is_known = false;   ///< It has told its load lately.
};

/** The agents' loads at a balancer. An agent tells its load in its answer to each new flow and to
    each probe, so what a balancer hears grows with the flows that it places, not with the number of
    agents. What it has not heard of lately counts as idle: the agent itself passes on what it can't
    serve at once. Answers load that comes unevenly, and servers that turn slow. Not thread-safe. */
class load_tracker
{
public:
    /** An agent that answers a new flow or a probe later than this is suspect: several times the
        way there and back, and less than the time after which a client sends again. */
    static constexpr duration answer_timeout = std::chrono::milliseconds(100);

    /** What an agent told of the requests under way there counts less and less until this age; most
        of them have ended by then. */
    static constexpr duration load_report_lifetime = std::chrono::seconds(1);

    /** An agent from which nothing was heard for this long is probed when a flow is looked for
        there. */
    static constexpr duration probe_after_silence = std::chrono::seconds(1);

    /** What an agent tells of itself. */
    struct report
    {
        double load = 0.0;
        duration service_time = default_service_time; ///< Of a request that finds a free slot.
        std::uint32_t slots = 1;
        bool is_closed = false;
        bool is_cold = false;
        bool is_failing = false;
    };

    void add_report(time_point now, const endpoint& agent, const report& latest_report);

    /** This balancer has sent a new flow there, and expects an answer. */
    void note_flow_placed(time_point now, const endpoint& agent);

    /** Whether an agent should be probed since nothing was heard of it lately and nothing is asked
        already. Then a probe counts as sent. */
    bool start_probe_if_due(time_point now, const endpoint& agent);

    /** Suspects to probe again, at most so many; those that were probed last come last. */
    std::vector<endpoint> take_suspects_to_probe(time_point now, std::size_t max_count);

    /** An agent that was never heard of counts as idle and not suspect. */
    load_estimate estimate(time_point now, const endpoint& agent) const;

    /** Forgets agents of which nothing was heard for a long time. */
    void expire(time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    /** A slow agent is tried again by a new flow after this. */
    static constexpr duration entry_lifetime = std::chrono::seconds(10);

    struct entry
    {
        report latest_report;
        double flows_since_report = 0.0; ///< Since it told its load.
        time_point heard_at;             ///< None before its first answer.
        time_point unanswered_since;     ///< The first question that is unanswered, or none.
        time_point probed_at;            ///< The last probe.
    };

    static bool is_suspect(time_point now, const entry& known)
    {
        return known.unanswered_since != time_point() &&
               now - known.unanswered_since > answer_timeout;
    }

    static void start_waiting_for_answer(time_point now, entry& known)
    {
        if (known.unanswered_since == time_point())
        {
            known.unanswered_since = now;
        }
    }

    std::unordered_map<endpoint, entry> entries_;
};

} // namespace carawayshelf
