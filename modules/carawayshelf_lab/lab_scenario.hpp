#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_overload/load_options.hpp"
#include "carawayshelf_packets/placement_policy.hpp"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace carawayshelf::lab
{

/** Kind of an event in a scenario. Share, factor and for_s are the event's settings. */
enum class lab_event_kind
{
    burst,           ///< Clients send factor times as many requests.
    slow_servers,    ///< A share of the servers takes factor times as long for a request.
    failing_servers, ///< A share of the servers fails every request at once.
    power_lost,      ///< All processes and servers stop, and start again after for_s.
    release, ///< A share of each service's servers is drained and replaced, one after the other.
    domain_lost,     ///< The first failure domain stops, and starts again after for_s.
    roll_balancers,  ///< A share of the balancers is restarted, one after the other.
    shift,           ///< A share of the first failure domain's requests enters in the second one.
    restart_servers, ///< A share of each service's servers is drained and restarted beside its
                     ///< agent, factor of them at a time, the next ones for_s later.
    crashed_servers, ///< A share of the servers ends, one after the other, without notice; each
                     ///< starts again after for_s. Their agents go on.
    domain_errors,   ///< A share of the servers fails at once a factor (at most 1) of the requests
                     ///< of the first failure domain's callers.
    silent_servers ///< A share of the servers takes a factor (at most 1) of the requests and never
                   ///< answers them.
};

inline constexpr name_table<lab_event_kind, 12> lab_event_kind_names{
    {"burst", "slow_servers", "failing_servers", "power_lost", "release", "domain_lost",
     "roll_balancers", "shift", "restart_servers", "crashed_servers", "domain_errors",
     "silent_servers"}};

struct lab_event
{
    lab_event_kind kind = lab_event_kind::burst;
    duration at{0}; ///< From the start of the load.
    duration length{0};
    double share = 1.0;
    double factor = 1.0;
};

/** How balancers learn the agents' loads. */
enum class load_source
{
    answers, ///< As in the product: with the answers to new flows and probes.
    none,    ///< Not at all.
    reports, ///< Each agent reports to every balancer, ten times a second.
    subset   ///< Each agent reports to the balancers that selected it, ten times a second.
};

inline constexpr name_table<load_source, 4> load_source_names{
    {"answers", "none", "reports", "subset"}};

/** A configuration of the decision code, to be compared with others in the same scenario. */
struct lab_policy
{
    std::string name;
    load_source loads = load_source::answers;
    placement_policy placing;
    std::uint32_t requests_ahead = 2;
    load_options load; ///< Decisions of the agents under load.
};

struct lab_service
{
    std::string name;
    std::size_t servers = 1;
    std::uint32_t slots = 2;
    std::size_t queue = 8; ///< Maximum number of requests that wait at the backend server.
    duration cold_for{0};  ///< After its start, requests take cold_factor times as long.
    double cold_factor = 1.0;
};

/** A kind of request. */
struct lab_request_kind
{
    std::string name;
    std::string service;
    double per_s = 0.0;
    bool has_long_flows = false; ///< Flows are reused for further requests.
    /** Clients of a failure domain, each with one long flow. A request is of a random client, which
        opens a new flow if its flow was reset or is in use. 0: any idle flow is used. */
    std::size_t kept_flows = 0;
    bool is_idempotent = true;
    duration work{0};    ///< Mean service time.
    double spread = 0.5; ///< Sigma of the lognormal distribution of the service time.
    std::uint32_t answer_bytes = 1000;
    duration target{0};   ///< A request that is served later counts as late.
    duration deadline{0}; ///< The client gives up after this time.
    std::uint32_t retries = 2;
    double worth = 1.0;      ///< Of a request that is served in time.
    double late_worth = 0.3; ///< Part of the worth that remains if it is late.
    std::uint32_t priority = 1;
};

/** A deployment, its load, and the events and policies to simulate. */
struct lab_scenario
{
    std::string name;
    duration length = std::chrono::seconds(20);
    std::uint32_t seeds = 5;
    std::size_t failure_domains = 3;
    std::size_t balancers = 3;
    std::uint64_t link_kbit_per_s = 0; ///< Bandwidth of each balancer; 0: no limit.
    std::size_t callers = 0; ///< Fixed addresses in each failure domain; 0: one for each flow.
    double loss = 0.002;     ///< Probability that a datagram to a balancer or agent is lost.
    std::vector<lab_service> services;
    std::vector<lab_request_kind> requests;
    std::vector<lab_event> events;
    std::vector<lab_policy> policies;
};

/** Reads a scenario in INI form. Returns one line for each fault, with the remedy; none if the
    scenario is valid. A file that is not in INI form gives one fault only. */
std::vector<std::string> read_scenario(std::istream& text, lab_scenario& scenario);

} // namespace carawayshelf::lab
