#pragma once

#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_steering/routing_table.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Parts of a subscriber's tables that an update changed. */
struct table_changes
{
    bool is_complete = false;       ///< The update replaced the whole tables.
    bool has_rules = false;         ///< The update contained rules.
    bool has_domains = false;       ///< The set of failure domains out of service changed.
    std::set<std::string> services; ///< Names of the services whose members changed.
};

/** A daemon's copy of the part of the tables that it subscribed to. Its generation never decreases.
    Not thread-safe. */
class subscriber_table
{
public:
    struct service
    {
        service_entry entry;
        std::vector<bucket_row> rows;
    };

    /** Applies an update. Returns false, and changes nothing, if the update is older than the
        tables, or if it holds only changed routes and no traffic configuration was received before.
     */
    bool apply(const table_update& update);

    /** Returns what the last applied update changed. */
    const table_changes& changes() const
    {
        return changes_;
    }

    /** Returns the ids of a service's members; empty for an unknown service. */
    const std::set<member_id>& members_of(const std::string& name) const;

    /** Returns the names of all services that have members. */
    std::vector<std::string> services_with_members() const;

    /** Builds the compact table that a balancer's traffic threads use. */
    routing_table build_routing_table() const;

    /** Returns the service with this name and its id, or nullptr. */
    const std::pair<const service_id, service>* find_service(const std::string& name) const;

    bool is_domain_out(const std::string& domain) const
    {
        return domains_out_.count(domain) != 0;
    }

    const std::set<std::string>& domains_out() const
    {
        return domains_out_;
    }

    /** Generation of the last update applied. */
    generation held() const
    {
        return held_;
    }

    const std::map<service_id, service>& services() const
    {
        return services_;
    }

    /** Returns the traffic configuration, or nullptr if none was received yet. */
    const std::shared_ptr<const traffic_rules>& rules() const
    {
        return rules_;
    }

    const std::map<member_id, member>& members() const
    {
        return members_;
    }

private:
    void apply_rules(const table_update& update);
    void put_member(const member& changed);
    void erase_member(member_id removed);

    generation held_ = 0;
    table_changes changes_;
    std::map<std::string, std::set<member_id>> members_of_;
    std::map<service_id, service> services_;
    std::map<member_id, member> members_;
    std::set<std::string> domains_out_;
    std::shared_ptr<const traffic_rules> rules_;
};

} // namespace carawayshelf
