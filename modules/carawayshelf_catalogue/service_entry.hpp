#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** How much a service's traffic matters; decides how long its requests may wait when a backend
    server is busy, and so what is shed first. */
enum class service_class
{
    critical,
    normal,
    deferrable
};

inline constexpr name_table<service_class, 3> service_class_names{
    {"critical", "normal", "deferrable"}};

/** What a service and each of its backend servers may receive. */
struct service_limits
{
    std::uint32_t max_in_flight = 1000;  ///< Requests in flight at the whole service.
    std::uint32_t server_slots = 2;      ///< Requests in flight at one backend server.
    std::uint32_t server_queue = 16;     ///< Requests waiting before one backend server.
    std::uint32_t server_flows = 2000;   ///< Flows at one backend server.
    std::uint32_t ramp_start_per_s = 20; ///< Requests a second right after a server's start.
    std::uint32_t ramp_ms = 10000;       ///< Time until a started server takes its full load.
};

/** One service as its operators describe it. */
struct service_entry
{
    std::string name;
    std::string owner;
    service_class traffic_class = service_class::normal;
    endpoint address;
    service_limits limits;
};

} // namespace carawayshelf
