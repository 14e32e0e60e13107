#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace carawayshelf::lab
{

/** How requests ended. */
struct outcome_counts
{
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    double worth_earned = 0.0;
    double worth_possible = 0.0;

    void add(const outcome_counts& other);

    double share_in_time() const
    {
        return requests == 0 ? 1.0 : static_cast<double>(in_time) / static_cast<double>(requests);
    }

    double worth() const
    {
        return worth_possible == 0.0 ? 1.0 : worth_earned / worth_possible;
    }
};

/** What one policy came to in a scenario, over all seeds. Not thread-safe. */
class policy_result
{
public:
    /** @param scenario  must outlive the result */
    policy_result(const lab_scenario& scenario, std::string policy);

    /** A request has ended.
        @param began  since the start of the run */
    void record_request(std::size_t kind_index, duration start_offset, duration elapsed,
                        bool is_served);

    /** Bytes that balancers and agents sent each other in a run, without clients' packets. */
    void add_signalling_bytes(std::uint64_t bytes);

    /** The busiest server's requests over the mean of its service, in a run. */
    void record_imbalance(double busiest_over_mean);

    const std::string& policy() const
    {
        return policy_;
    }

    /** Of one kind of request. */
    const outcome_counts& of_kind(std::size_t kind_index) const
    {
        return kinds_[kind_index];
    }

    outcome_counts total() const;

    /** Share in time by the second in which a request began. */
    std::vector<double> share_by_second() const;

    /** Mean worth of the two worst seconds. */
    double worst_seconds_worth() const;

    /** Time that a part of the served requests took at most. */
    double quantile_ms(double fraction) const;

    /** Bytes a second between one balancer and the agents, without clients' packets. */
    double signalling_bytes_per_balancer_s() const;

    double imbalance() const;

private:
    using latency_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = decltype(boost::histogram::make_histogram(latency_axis()));

    const lab_scenario* scenario_;
    std::string policy_;
    std::vector<outcome_counts> kinds_;
    std::vector<outcome_counts> seconds_;
    latency_histogram latencies_;
    std::uint64_t signalling_bytes_ = 0;
    double imbalance_ = 0.0;
    std::uint32_t runs_ = 0;
};

/** The results as a table of text. */
std::string format_table(const lab_scenario& scenario, const std::vector<policy_result>& results);

} // namespace carawayshelf::lab
