#include "carawayshelf_lab/lab_report.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace carawayshelf::lab
{

namespace
{

constexpr unsigned latency_bin_count = 400;
constexpr double min_latency_ms = 0.1;
constexpr double max_latency_ms = 20000.0;
constexpr std::size_t worst_second_count = 2;

} // namespace

void outcome_counts::add(const outcome_counts& other)
{
    requests += other.requests;
    in_time += other.in_time;
    late += other.late;
    failed += other.failed;
    at_deadline += other.at_deadline;
    errors += other.errors;
    worth_earned += other.worth_earned;
    worth_possible += other.worth_possible;
}

policy_result::policy_result(const lab_scenario& scenario, std::string policy)
    : scenario_(&scenario), policy_(std::move(policy)), kinds_(scenario.requests.size()),
      seconds_(static_cast<std::size_t>(scenario.length / std::chrono::seconds(1)) + 1),
      attempt_ends_(scenario.requests.size()),
      latencies_(boost::histogram::make_histogram(
          latency_axis(latency_bin_count, min_latency_ms, max_latency_ms)))
{
}

void policy_result::record_request(std::size_t kind_index, duration start_offset, duration elapsed,
                                   bool is_served, std::size_t caller)
{
    const lab_request_kind& kind = scenario_->requests[kind_index];
    outcome_counts counted;
    counted.requests = 1;
    counted.worth_possible = kind.worth;
    if (!is_served)
    {
        counted.failed = 1;
    }
    else if (elapsed <= kind.target)
    {
        counted.in_time = 1;
        counted.worth_earned = kind.worth;
    }
    else
    {
        counted.late = 1;
        counted.worth_earned = kind.late_worth * kind.worth;
    }
    if (is_served)
    {
        latencies_(static_cast<double>(elapsed.count()) / 1000.0);
    }
    kinds_[kind_index].add(counted);
    callers_[caller].add(counted);
    const std::size_t second = static_cast<std::size_t>(start_offset / std::chrono::seconds(1));
    seconds_[std::min(second, seconds_.size() - 1)].add(counted);
}

void policy_result::record_opening(duration start_offset)
{
    const std::size_t index = static_cast<std::size_t>(start_offset / opening_interval);
    openings_.resize(std::max(openings_.size(), index + 1));
    ++openings_[index];
}

void policy_result::record_deadline(std::size_t kind_index)
{
    ++kinds_[kind_index].at_deadline;
}

void policy_result::record_error(std::size_t kind_index)
{
    ++kinds_[kind_index].errors;
}

void policy_result::add_signalling_bytes(std::uint64_t bytes)
{
    signalling_bytes_ += bytes;
    ++runs_;
}

void policy_result::record_imbalance(double busiest_over_mean)
{
    imbalance_ += busiest_over_mean;
}

outcome_counts policy_result::total() const
{
    outcome_counts sum;
    for (const outcome_counts& kind : kinds_)
    {
        sum.add(kind);
    }
    return sum;
}

std::vector<double> policy_result::share_by_second() const
{
    std::vector<double> shares;
    for (const outcome_counts& second : seconds_)
    {
        if (second.requests != 0)
        {
            shares.push_back(second.share_in_time());
        }
    }
    return shares;
}

double policy_result::worst_seconds_worth() const
{
    std::vector<double> values;
    for (const outcome_counts& second : seconds_)
    {
        values.push_back(second.worth());
    }
    std::sort(values.begin(), values.end());
    double sum = 0.0;
    const std::size_t count = std::min(worst_second_count, values.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        sum += values[i];
    }
    return sum / static_cast<double>(count);
}

double policy_result::worst_callers_worth() const
{
    std::vector<outcome_counts> ordered;
    for (const auto& [caller, counts] : callers_)
    {
        ordered.push_back(counts);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const outcome_counts& a, const outcome_counts& b)
              { return a.worth() < b.worth(); });
    ordered.resize((ordered.size() + 9) / 10);
    outcome_counts sum;
    for (const outcome_counts& counts : ordered)
    {
        sum.add(counts);
    }
    return sum.worth();
}

double policy_result::quantile_ms(double fraction) const
{
    double total_count = 0.0;
    for (auto&& bin : boost::histogram::indexed(latencies_))
    {
        total_count += *bin;
    }
    double cumulative_count = 0.0;
    for (auto&& bin : boost::histogram::indexed(latencies_))
    {
        cumulative_count += *bin;
        if (total_count > 0.0 && cumulative_count >= fraction * total_count)
        {
            return bin.bin().upper();
        }
    }
    return 0.0;
}

double policy_result::signalling_bytes_per_balancer_s() const
{
    const double seconds = std::chrono::duration<double>(scenario_->length).count() * runs_ *
                           static_cast<double>(scenario_->balancers);
    return seconds == 0.0 ? 0.0 : static_cast<double>(signalling_bytes_) / seconds;
}

double policy_result::peak_openings(duration from) const
{
    std::uint64_t peak = 0;
    for (std::size_t i = static_cast<std::size_t>(from / opening_interval); i < openings_.size();
         ++i)
    {
        peak = std::max(peak, openings_[i]);
    }
    return runs_ == 0 ? 0.0 : static_cast<double>(peak) / runs_;
}

double policy_result::imbalance() const
{
    return runs_ == 0 ? 0.0 : imbalance_ / runs_;
}

std::string format_outcomes(const lab_scenario& scenario, const std::vector<policy_result>& results)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(4) << std::left << std::setw(22) << "policy"
        << std::setw(16) << "requests" << std::right;
    for (const char* column : {"in time", "late", "failed", "refused", "expired"})
    {
        out << std::setw(10) << column;
    }
    out << '\n';
    for (const policy_result& result : results)
    {
        for (std::size_t i = 0; i < scenario.requests.size(); ++i)
        {
            const outcome_counts& counts = result.of_kind(i);
            out << std::left << std::setw(22) << result.policy() << std::setw(16)
                << scenario.requests[i].name << std::right;
            for (const std::uint64_t count : {counts.in_time, counts.late, counts.failed,
                                              result.attempts_ended(i, attempt_end::refused),
                                              result.attempts_ended(i, attempt_end::expired)})
            {
                out << std::setw(10)
                    << static_cast<double>(count) /
                           std::max<double>(1.0, static_cast<double>(counts.requests));
            }
            out << '\n';
        }
    }
    return out.str();
}

std::string format_table(const lab_scenario& scenario, const std::vector<policy_result>& results)
{
    std::ostringstream out;
    out << std::fixed << std::left << std::setw(22) << "policy" << std::right << std::setw(8)
        << "worth" << std::setw(9) << "in time" << std::setw(8) << "late" << std::setw(8)
        << "failed" << std::setw(8) << "worst" << std::setw(8) << "tenth" << std::setw(9)
        << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(11) << "own B/s" << std::setw(10)
        << "busiest";
    for (const lab_request_kind& kind : scenario.requests)
    {
        out << std::setw(16) << kind.name;
    }
    out << '\n';
    for (const policy_result& result : results)
    {
        const outcome_counts total = result.total();
        const double requests = std::max<double>(1.0, static_cast<double>(total.requests));
        out << std::left << std::setw(22) << result.policy() << std::right << std::setprecision(3)
            << std::setw(8) << total.worth() << std::setw(9) << total.share_in_time()
            << std::setw(8) << static_cast<double>(total.late) / requests << std::setw(8)
            << static_cast<double>(total.failed) / requests << std::setw(8)
            << result.worst_seconds_worth() << std::setw(8) << result.worst_callers_worth()
            << std::setprecision(1) << std::setw(9) << result.quantile_ms(0.5) << std::setw(9)
            << result.quantile_ms(0.99) << std::setprecision(0) << std::setw(11)
            << result.signalling_bytes_per_balancer_s() << std::setprecision(2) << std::setw(10)
            << result.imbalance() << std::setprecision(3);
        for (std::size_t i = 0; i < scenario.requests.size(); ++i)
        {
            out << std::setw(16) << result.of_kind(i).worth();
        }
        out << '\n';
    }
    return out.str();
}

std::string format_failures(const lab_scenario& scenario, const std::vector<policy_result>& results)
{
    std::ostringstream out;
    out << std::left << std::setw(22) << "policy" << std::setw(16) << "requests" << std::right
        << std::setw(10) << "sent" << std::setw(10) << "errors" << std::setw(10) << "lost"
        << std::setw(13) << "at deadline" << std::setw(10) << "late" << '\n';
    for (const policy_result& result : results)
    {
        for (std::size_t i = 0; i < scenario.requests.size(); ++i)
        {
            const outcome_counts& counts = result.of_kind(i);
            out << std::left << std::setw(22) << result.policy() << std::setw(16)
                << scenario.requests[i].name << std::right << std::setw(10) << counts.requests
                << std::setw(10) << counts.errors << std::setw(10) << counts.failed << std::setw(13)
                << counts.at_deadline << std::setw(10) << counts.late << '\n';
        }
    }
    return out.str();
}

} // namespace carawayshelf::lab
