#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"
#include "carawayshelf_lab/server_start_statistics.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace carawayshelf::lab
{

/** Outcomes of finished requests. */
struct outcome_counts
{
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0; ///< Served within the target time.
    std::uint64_t late = 0;    ///< Served after the target time, before the deadline.
    std::uint64_t failed = 0;
    std::uint64_t at_deadline = 0; ///< Failed because the client gave up at the deadline.
    std::uint64_t errors = 0;      ///< Attempts that a server answered with a failure.
    double worth_earned = 0.0;
    double worth_possible = 0.0; ///< If all requests had been served in time.

    void add(const outcome_counts& other);

    /** Share of the requests that were served in time; 1 without requests. */
    double share_in_time() const
    {
        return requests == 0 ? 1.0 : static_cast<double>(in_time) / static_cast<double>(requests);
    }

    /** Earned worth as a share of the possible one; 1 without requests. */
    double worth() const
    {
        return worth_possible == 0.0 ? 1.0 : worth_earned / worth_possible;
    }
};

/** How an attempt ended without an answer, if the network and the servers did not fail. */
enum class attempt_end
{
    refused, ///< By a reset, before its flow opened.
    expired  ///< At the client's deadline, or because its flow did not open in time.
};

/** Results of one policy in a scenario, over the runs with all seeds. Not thread-safe. */
class policy_result
{
public:
    /** Interval by which new flows are counted. */
    static constexpr duration opening_interval = std::chrono::milliseconds(100);

    /** @param scenario  must outlive the result */
    policy_result(const lab_scenario& scenario, std::string policy);

    /** Counts a request that has ended.
        @param kind_index    index in the scenario's requests
        @param start_offset  when the request started, from the start of the run
        @param caller        number of the caller, if callers have fixed addresses */
    void record_request(std::size_t kind_index, duration start_offset, duration elapsed,
                        bool is_served, std::size_t caller = 0);

    /** Counts an attempt that ended without an answer. */
    void record_attempt_end(std::size_t kind_index, attempt_end reason)
    {
        ++attempt_ends_[kind_index][static_cast<std::size_t>(reason)];
    }

    /** Number of attempts that ended in this way. */
    std::uint64_t attempts_ended(std::size_t kind_index, attempt_end reason) const
    {
        return attempt_ends_[kind_index][static_cast<std::size_t>(reason)];
    }

    /** Worth of the tenth of the callers for which it is lowest; 1 without requests. */
    double worst_callers_worth() const;

    /** Counts a new flow that a client opens.
        @param start_offset  from the start of the run */
    void record_opening(duration start_offset);

    /** Counts a request whose client gave up at its deadline; record_request() counts it as failed.
        @param kind_index  index in the scenario's requests */
    void record_deadline(std::size_t kind_index);

    /** Counts an attempt that a server answered with a failure.
        @param kind_index  index in the scenario's requests */
    void record_error(std::size_t kind_index);

    /** Adds the bytes of a run's datagrams between balancers and agents, without those that carry a
        client's packet. To be called once for each run, since it also counts the runs. */
    void add_signalling_bytes(std::uint64_t bytes);

    /** Adds a run's imbalance: the requests of the busiest server, divided by the mean of its
        service. */
    void record_imbalance(double busiest_over_mean);

    /** Requests of servers in the first seconds after their start. */
    server_start_statistics& server_starts()
    {
        return server_starts_;
    }

    const server_start_statistics& server_starts() const
    {
        return server_starts_;
    }

    const std::string& policy() const
    {
        return policy_;
    }

    /** Outcomes of one kind of request.
        @param kind_index  index in the scenario's requests */
    const outcome_counts& of_kind(std::size_t kind_index) const
    {
        return kinds_[kind_index];
    }

    outcome_counts total() const;

    /** Share of requests served in time, by the second in which they started. Seconds without
        requests are left out. */
    std::vector<double> share_by_second() const;

    /** Mean of worth() over the two worst seconds. */
    double worst_seconds_worth() const;

    /** Time in milliseconds within which this fraction (0 to 1) of the served requests was
        answered; 0 if none was served. */
    double quantile_ms(double fraction) const;

    /** Mean over the runs of the bytes that were exchanged per second and balancer, in datagrams
        without a client's packet. */
    double signalling_bytes_per_balancer_s() const;

    /** Largest number of new flows in opening_interval, as a mean over the runs.
        @param from  earlier intervals are left out */
    double peak_openings(duration from) const;

    /** Mean imbalance over the runs, see record_imbalance(). */
    double imbalance() const;

private:
    using latency_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = decltype(boost::histogram::make_histogram(latency_axis()));

    const lab_scenario* scenario_;
    std::string policy_;
    std::vector<outcome_counts> kinds_;
    std::vector<outcome_counts> seconds_;
    std::map<std::size_t, outcome_counts> callers_;
    std::vector<std::array<std::uint64_t, 2>> attempt_ends_; ///< By kind and attempt_end.
    latency_histogram latencies_;
    server_start_statistics server_starts_;
    std::vector<std::uint64_t> openings_; ///< By opening_interval, in all runs.
    std::uint64_t signalling_bytes_ = 0;
    double imbalance_ = 0.0;
    std::uint32_t runs_ = 0;
};

/** Formats the outcomes of each kind of request: shares of late and failed requests, and attempts
    that were refused or expired, per request. */
std::string format_outcomes(const lab_scenario& scenario,
                            const std::vector<policy_result>& results);

/** Formats the results as a text table with a row for each policy. */
std::string format_table(const lab_scenario& scenario, const std::vector<policy_result>& results);

/** Formats how the requests of each kind failed as a text table with a row for each policy. */
std::string format_failures(const lab_scenario& scenario,
                            const std::vector<policy_result>& results);

} // namespace carawayshelf::lab
