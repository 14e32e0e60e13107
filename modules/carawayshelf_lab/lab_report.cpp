#include "carawayshelf_lab/lab_report.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace carawayshelf::lab
{

namespace
{

constexpr unsigned latency_bins = 400;
constexpr double shortest_ms = 0.1;
constexpr double longest_ms = 20000.0;
constexpr std::size_t worst_seconds_counted = 2;

} // namespace

void outcome_counts::add(const outcome_counts& other)
{
    asked += other.asked;
    in_time += other.in_time;
    late += other.late;
    failed += other.failed;
    earned += other.earned;
    owed += other.owed;
}

policy_result::policy_result(const lab_scenario& scenario, std::string policy)
    : scenario_(&scenario), policy_(std::move(policy)), kinds_(scenario.requests.size()),
      seconds_(static_cast<std::size_t>(scenario.length / std::chrono::seconds(1)) + 1),
      latencies_(
          boost::histogram::make_histogram(latency_axis(latency_bins, shortest_ms, longest_ms)))
{
}

void policy_result::note_request(std::size_t requests, duration began, duration took,
                                 bool is_served)
{
    const lab_requests& kind = scenario_->requests[requests];
    outcome_counts counted;
    counted.asked = 1;
    counted.owed = kind.worth;
    if (!is_served)
    {
        counted.failed = 1;
    }
    else if (took <= kind.target)
    {
        counted.in_time = 1;
        counted.earned = kind.worth;
    }
    else
    {
        counted.late = 1;
        counted.earned = kind.late_worth * kind.worth;
    }
    if (is_served)
    {
        latencies_(static_cast<double>(took.count()) / 1000.0);
    }
    kinds_[requests].add(counted);
    const std::size_t second = static_cast<std::size_t>(began / std::chrono::seconds(1));
    seconds_[std::min(second, seconds_.size() - 1)].add(counted);
}

void policy_result::note_own_bytes(std::uint64_t bytes)
{
    own_bytes_ += bytes;
    ++runs_;
}

void policy_result::note_imbalance(double busiest_over_mean)
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
        if (second.asked != 0)
        {
            shares.push_back(second.share_in_time());
        }
    }
    return shares;
}

double policy_result::worst_seconds() const
{
    std::vector<double> worths;
    for (const outcome_counts& second : seconds_)
    {
        worths.push_back(second.worth());
    }
    std::sort(worths.begin(), worths.end());
    double sum = 0.0;
    const std::size_t count = std::min(worst_seconds_counted, worths.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        sum += worths[i];
    }
    return sum / static_cast<double>(count);
}

double policy_result::quantile_ms(double part) const
{
    double all = 0.0;
    for (auto&& bin : boost::histogram::indexed(latencies_))
    {
        all += *bin;
    }
    double seen = 0.0;
    for (auto&& bin : boost::histogram::indexed(latencies_))
    {
        seen += *bin;
        if (all > 0.0 && seen >= part * all)
        {
            return bin.bin().upper();
        }
    }
    return 0.0;
}

double policy_result::own_bytes_per_balancer_s() const
{
    const double seconds = std::chrono::duration<double>(scenario_->length).count() * runs_ *
                           static_cast<double>(scenario_->balancers);
    return seconds == 0.0 ? 0.0 : static_cast<double>(own_bytes_) / seconds;
}

double policy_result::imbalance() const
{
    return runs_ == 0 ? 0.0 : imbalance_ / runs_;
}

std::string format_table(const lab_scenario& scenario, const std::vector<policy_result>& results)
{
    std::ostringstream out;
    out << std::fixed << std::left << std::setw(22) << "policy" << std::right << std::setw(8)
        << "worth" << std::setw(9) << "in time" << std::setw(8) << "late" << std::setw(8)
        << "failed" << std::setw(8) << "worst" << std::setw(9) << "p50 ms" << std::setw(9)
        << "p99 ms" << std::setw(11) << "own B/s" << std::setw(10) << "busiest";
    for (const lab_requests& kind : scenario.requests)
    {
        out << std::setw(16) << kind.name;
    }
    out << '\n';
    for (const policy_result& result : results)
    {
        const outcome_counts total = result.total();
        const double asked = std::max<double>(1.0, static_cast<double>(total.asked));
        out << std::left << std::setw(22) << result.policy() << std::right << std::setprecision(3)
            << std::setw(8) << total.worth() << std::setw(9) << total.share_in_time()
            << std::setw(8) << static_cast<double>(total.late) / asked << std::setw(8)
            << static_cast<double>(total.failed) / asked << std::setw(8) << result.worst_seconds()
            << std::setprecision(1) << std::setw(9) << result.quantile_ms(0.5) << std::setw(9)
            << result.quantile_ms(0.99) << std::setprecision(0) << std::setw(11)
            << result.own_bytes_per_balancer_s() << std::setprecision(2) << std::setw(10)
            << result.imbalance() << std::setprecision(3);
        for (std::size_t i = 0; i < scenario.requests.size(); ++i)
        {
            out << std::setw(16) << result.of_kind(i).worth();
        }
        out << '\n';
    }
    return out.str();
}

} // namespace carawayshelf::lab
