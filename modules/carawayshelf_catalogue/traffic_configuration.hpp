#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** What kind of requests the flows of a route carry. */
enum class request_class : std::uint8_t
{
    idempotent,
    non_idempotent,
    download
};

inline constexpr name_table<request_class, 3> request_class_names{
    {"idempotent", "non_idempotent", "download"}};

/** Share of a route's new flows that go to one service. */
struct service_share
{
    std::string service;
    std::uint32_t weight = 0;
};

/** An address with a port, and where its new flows go. */
struct traffic_route
{
    std::string name;
    endpoint address;
    request_class requests = request_class::idempotent;
    std::uint32_t timeout_ms = 0;
    std::uint32_t target_latency_ms = 0;
    std::uint32_t priority = 0; ///< 0 goes first.
    std::vector<service_share> shares;
};

/** What the operators say of a service whose flows are packets. */
struct service_rules
{
    std::string name;
    std::uint32_t max_flows = 0;      ///< Flows that one backend server holds; 0: no limit.
    double cold_requests_per_s = 0.0; ///< What one cold backend server bears.
};

/** A whole configuration, replaced as one change. The highest version is in force. */
struct traffic_configuration
{
    std::uint64_t version = 0;
    std::vector<traffic_route> routes;
    std::vector<service_rules> services;
    std::uint32_t idle_timeout_ms = 0; ///< Idle flows may be discarded after this.
    std::string content;               ///< What the operator sent, byte by byte.
};

/** Routes of a configuration by their addresses. */
using route_index = std::unordered_map<endpoint, const traffic_route*>;

/** The index of a configuration. Precondition: the configuration outlives the index. Thread-safe.
 */
route_index index_routes(const traffic_configuration& configuration);

/** Checks a whole configuration. Returns every fault as one line: the place, what was seen, and
    the remedy; nothing when it is good. Thread-safe. */
std::vector<std::string> find_configuration_faults(const traffic_configuration& configuration);

/** Joins faults into one text, a line each. Thread-safe. */
std::string join_faults(const std::vector<std::string>& faults);

} // namespace carawayshelf
