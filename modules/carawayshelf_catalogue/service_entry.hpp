#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/name_table.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** Importance of a service's traffic. Decides how long requests may wait for a busy backend server,
    and so which ones are shed first. */
enum class service_class
{
    critical,
    normal,
    deferrable
};

inline constexpr name_table<service_class, 3> service_class_names{
    {"critical", "normal", "deferrable"}};

/** Load limits of a service and of each of its backend servers. */
struct service_limits
{
    std::uint32_t max_in_flight = 1000;  ///< Requests in flight across the service.
    std::uint32_t server_slots = 2;      ///< Requests in flight at one backend server.
    std::uint32_t server_queue = 16;     ///< Requests queued for one backend server.
    std::uint32_t server_flows = 2000;   ///< Flows at one backend server.
    std::uint32_t ramp_start_per_s = 20; ///< Requests per second right after a server start.
    std::uint32_t ramp_ms = 10000;       ///< Time from a server start to its full load.
};

/** A catalogue entry: one service as its operators define it. */
struct service_entry
{
    std::string name;
    std::string owner;
    service_class traffic_class = service_class::normal;
    endpoint address;
    service_limits limits;
};

} // namespace carawayshelf
