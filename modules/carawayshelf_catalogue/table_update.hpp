#pragma once

#include "carawayshelf_catalogue/member.hpp"
#include "carawayshelf_catalogue/service_entry.hpp"
#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_steering/bucket_row.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawayshelf
{

/** A bucket row and its index in the service's rows. */
struct numbered_row
{
    std::uint16_t bucket = 0;
    bucket_row row;
};

/** The entry and the changed rows of one service. */
struct service_update
{
    service_id id = 0;
    service_entry entry;
    std::vector<numbered_row> rows;
};

/** Services that received new flows of a route under earlier configurations, by the address of the
    route. Kept as long as the route exists. */
using earlier_services = std::map<endpoint, std::vector<std::string>>;

/** The traffic configuration as daemons get it: without the text that the operator sent. */
struct traffic_rules
{
    traffic_configuration configuration;
    earlier_services earlier;
};

/** A reference to a configuration and to the earlier services of its routes. Precondition: both
    outlive the view. */
struct rules_view
{
    const traffic_configuration& configuration;
    const earlier_services& earlier;
};

/** The changes that bring a subscriber from its generation to a newer one. */
struct table_update
{
    generation held = 0;   ///< Generation of the subscriber after this update.
    bool complete = false; ///< Replaces the tables instead of changing them.
    std::vector<service_update> services;
    std::vector<member> members;
    std::vector<service_id> removed_services;
    std::vector<member_id> removed_members;
    std::vector<std::string> domains_out;       ///< Always the complete list.
    std::shared_ptr<const traffic_rules> rules; ///< Null if the rules did not change.
    /** Whether the rules hold only the changed routes, and the services' rules only if one of these
        changed. */
    bool has_changed_routes_only = false;
    std::vector<endpoint> removed_routes; ///< Only if has_changed_routes_only.
};

} // namespace carawayshelf
