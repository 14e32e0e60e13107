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

/** Kind of the requests in the flows of a route. */
enum class request_class : std::uint8_t
{
    idempotent,
    non_idempotent,
    download
};

inline constexpr name_table<request_class, 3> request_class_names{
    {"idempotent", "non_idempotent", "download"}};

/** Relative share of a route's new flows that one service gets. */
struct service_share
{
    std::string service;
    std::uint32_t weight = 0;
};

/** An address with a port, and the services that get its new flows. */
struct traffic_route
{
    std::string name;
    endpoint address;
    request_class requests = request_class::idempotent;
    std::uint32_t timeout_ms = 0;
    std::uint32_t target_latency_ms = 0;
    std::uint32_t priority = 0; ///< 0 is the highest priority.
    std::vector<service_share> shares;
};

/** Limits that the operators set for a service with flow_protocol::packets. */
struct service_rules
{
    std::string name;
    std::uint32_t max_flows = 0;      ///< Limit for one backend server; 0 means no limit.
    double cold_requests_per_s = 0.0; ///< Capacity of one cold backend server.
};

/** A whole configuration, replaced as one change. The highest version applies. */
struct traffic_configuration
{
    std::uint64_t version = 0;
    std::vector<traffic_route> routes;
    std::vector<service_rules> services;
    std::uint32_t idle_timeout_ms = 0; ///< A flow idle for longer may be discarded.
    std::string content;               ///< Bytes that the operator sent, unchanged.
};

/** Index of a configuration's routes by address. */
using route_index = std::unordered_map<endpoint, const traffic_route*>;

/** Builds the route index of a configuration. Precondition: the configuration outlives the index.
    Thread-safe. */
route_index index_routes(const traffic_configuration& configuration);

/** Faults of a configuration after which no further ones are looked for, so that a message about an
    invalid configuration stays short. */
inline constexpr std::size_t max_reported_faults = 100;

/** Validates a whole configuration. Returns one line per fault, with the place, the value and the
    remedy, for the first max_reported_faults or a few more; empty if the configuration is valid.
    Thread-safe. */
std::vector<std::string> find_configuration_faults(const traffic_configuration& configuration);

/** Joins faults into one text, one per line. Thread-safe. */
std::string join_faults(const std::vector<std::string>& faults);

} // namespace carawayshelf
