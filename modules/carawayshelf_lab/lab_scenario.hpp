#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_packets/placement_policy.hpp"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace carawayshelf::lab
{

/** What can happen in a scenario. */
enum class lab_event_kind
{
    burst,           ///< Clients ask factor times as much.
    slow_servers,    ///< A share of the servers takes factor times as long.
    failing_servers, ///< A share of the servers fails what it gets, at once.
    power_lost,      ///< All processes and servers end, and start again after for_s.
    release,     ///< A share of a service's servers is drained and replaced, one after the other.
    domain_lost, ///< The first failure domain ends, and starts again after for_s.
    roll_balancers, ///< A share of the balancers stops and starts again, one after the other.
    shift           ///< A share of the first failure domain's clients asks in the second one.
};

inline constexpr name_table<lab_event_kind, 8> lab_event_kind_names{
    {"burst", "slow_servers", "failing_servers", "power_lost", "release", "domain_lost",
     "roll_balancers", "shift"}};

struct lab_event
{
    lab_event_kind kind = lab_event_kind::burst;
    duration at{0};
    duration length{0};
    double share = 1.0;
    double factor = 1.0;
};

/** Where balancers know the agents' loads from. */
enum class load_source
{
    answers, ///< As in the product: told with the answers to new flows and probes.
    none,    ///< They know nothing.
    reports, ///< Each agent reports to each balancer ten times a second.
    subset   ///< Each agent reports ten times a second to the balancers that picked it.
};

inline constexpr name_table<load_source, 4> load_source_names{
    {"answers", "none", "reports", "subset"}};

/** A way to decide, played side by side with others. */
struct lab_policy
{
    std::string name;
    load_source loads = load_source::answers;
    placement_policy placing;
    std::uint32_t requests_ahead = 2;
};

struct lab_service
{
    std::string name;
    std::size_t servers = 1;
    std::uint32_t slots = 2;
    std::size_t queue = 8; ///< Requests that wait at the backend server itself.
    duration cold_for{0};  ///< After its start it takes cold_factor times as long.
    double cold_factor = 1.0;
};

/** A kind of request. */
struct lab_requests
{
    std::string name;
    std::string service;
    double per_s = 0.0;
    bool has_long_flows = false; ///< Many requests in a flow.
    bool is_idempotent = true;
    duration work{0}; ///< Mean.
    double spread = 0.5;
    std::uint32_t answer_bytes = 1000;
    duration target{0};
    duration deadline{0};
    std::uint32_t retries = 2;
    double worth = 1.0;
    double late_worth = 0.3;
    std::uint32_t priority = 1;
};

/** A deployment, its load and what happens to it. */
struct lab_scenario
{
    std::string name;
    duration length = std::chrono::seconds(20);
    std::uint32_t seeds = 5;
    std::size_t failure_domains = 3;
    std::size_t balancers = 3;
    std::uint64_t link_kbit_per_s = 0; ///< Of each balancer; 0: no limit.
    double loss = 0.002;               ///< Of datagrams between the system's processes.
    std::vector<lab_service> services;
    std::vector<lab_requests> requests;
    std::vector<lab_event> events;
    std::vector<lab_policy> policies;
};

/** Reads a scenario in INI form. Returns every fault as one line with the remedy; nothing when it
   is good. */
std::vector<std::string> read_scenario(std::istream& text, lab_scenario& scenario);

} // namespace carawayshelf::lab
