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

/** A bucket row and its number. */
struct numbered_row
{
    std::uint16_t bucket = 0;
    bucket_row row;
};

/** What changed in one service. */
struct service_update
{
    service_id id = 0;
    service_entry entry;
    std::vector<numbered_row> rows;
};

/** Services that got new flows of a route before, while the route stood. */
using earlier_services = std::map<endpoint, std::vector<std::string>>;

/** The traffic configuration as daemons need it: without the operator's bytes. */
struct traffic_rules
{
    traffic_configuration configuration;
    earlier_services earlier;
};

/** A configuration and the services that got flows of its routes before, wherever they are held. */
struct rules_view
{
    const traffic_configuration& configuration;
    const earlier_services& earlier;
};

/** What a subscriber lacks: from its own generation to a newer one. */
struct table_update
{
    generation held = 0;   ///< Generation that the subscriber holds after taking this in.
    bool complete = false; ///< Replaces everything, rather than adding to it.
    std::vector<service_update> services;
    std::vector<member> members;
    std::vector<service_id> removed_services;
    std::vector<member_id> removed_members;
    std::vector<std::string> domains_out;       ///< All of them, each time.
    std::shared_ptr<const traffic_rules> rules; ///< Only when they changed.
    /** The rules hold only the routes that changed, and the services' rules only if one did. */
    bool has_changed_routes_only = false;
    std::vector<endpoint> removed_routes; ///< With changed routes only.
};

} // namespace carawayshelf
