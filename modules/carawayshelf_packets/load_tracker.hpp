#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_overload/service_time_meter.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** What a balancer knows about the load of an agent. */
struct load_estimate
{
    /** Expected time of a new request including its wait, estimated from the requests in flight in
        the latest report and the flows sent to the agent since. */
    duration expected_time{0};
    bool is_closed = false;  ///< It admits no new flows.
    bool is_cold = false;    ///< Its backend server counts as cold.
    bool is_failing = false; ///< Its backend server seems to fail its requests.
    bool is_suspect = false; ///< It has not answered in time.
    bool is_known = false;   ///< It has sent a load report recently.
    /** Fraction of its usual rate that its backend server can take now, if it has stated that
        recently. */
    std::optional<double> pace;
};

/** Tracks the loads of the agents at a balancer, so that it can spread new flows when load is
    uneven or a server becomes slow. An agent reports its load in its answer to each new flow and
    each probe, so the number of reports grows with the flows that the balancer places, not with the
    number of agents. An agent without a recent report counts as idle; if it cannot serve a flow
    immediately, it forwards the flow. Not thread-safe. */
class load_tracker
{
public:
    /** An agent that has not answered a new flow or a probe for longer than this is suspect:
        several round trips, and less than the time after which a client retransmits. */
    static constexpr duration answer_timeout = std::chrono::milliseconds(100);

    /** The weight of the reported number of requests in flight falls linearly to 0 at this age of
        the report, because most of the requests have ended by then. */
    static constexpr duration load_report_lifetime = std::chrono::seconds(1);

    /** An agent that sent no report for this long is probed when a flow is searched for there. */
    static constexpr duration probe_after_silence = std::chrono::seconds(1);

    /** A load report of an agent. */
    struct report
    {
        double load = 0.0;                            ///< Requests in flight or queued.
        duration service_time = default_service_time; ///< Without a wait for a slot.
        std::uint32_t slots = 1;
        bool is_closed = false;
        bool is_cold = false;
        bool is_failing = false;
        std::optional<double> pace; ///< Fraction of the server's usual rate.
    };

    void add_report(time_point now, const endpoint& agent, const report& latest_report);

    /** Records that this balancer has sent a new flow to the agent and expects an answer. */
    void record_flow_placed(time_point now, const endpoint& agent);

    /** Returns whether the agent is due for a probe, that is, has sent no recent report and no
        answer from it is outstanding. If so, a probe counts as sent. */
    bool start_probe_if_due(time_point now, const endpoint& agent);

    /** Returns at most max_count suspect agents to probe again: those whose last probe is oldest.
        Their probes count as sent. */
    std::vector<endpoint> take_suspects_to_probe(time_point now, std::size_t max_count);

    /** The load of an agent. An unknown agent counts as idle and not suspect. */
    load_estimate estimate(time_point now, const endpoint& agent) const;

    /** Whether an agent has stated its server's pace within pace_report_lifetime, so that other
        agents probably do. */
    bool do_agents_state_paces(time_point now) const
    {
        return now - pace_reported_at_ < pace_report_lifetime;
    }

    /** Removes agents whose latest report, and whose first unanswered flow or probe, are older than
        entry_lifetime. */
    void expire(time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    /** After this time without a report, an agent that was slow gets new flows again. */
    static constexpr duration entry_lifetime = std::chrono::seconds(10);

    struct entry
    {
        report latest_report;
        double flows_since_report = 0.0; ///< Flows placed there since the latest report.
        time_point report_received_at;   ///< time_point() if there was none.
        time_point unanswered_since;     ///< When the first unanswered flow or probe was sent;
                                         ///< time_point() if there is none.
        time_point probed_at;            ///< When the last probe was sent.
    };

    static bool is_suspect(time_point now, const entry& agent_entry)
    {
        return agent_entry.unanswered_since != time_point() &&
               now - agent_entry.unanswered_since > answer_timeout;
    }

    static void start_waiting_for_answer(time_point now, entry& agent_entry)
    {
        if (agent_entry.unanswered_since == time_point())
        {
            agent_entry.unanswered_since = now;
        }
    }

    static constexpr duration pace_report_lifetime = entry_lifetime;

    std::unordered_map<endpoint, entry> entries_;
    time_point pace_reported_at_; ///< time_point() if no agent has stated a pace.
};

} // namespace carawayshelf
