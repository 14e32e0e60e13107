#pragma once

#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_steering/routing_table.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawayshelf
{

/** What an update changed in a subscriber's tables. */
struct table_changes
{
    bool is_complete = false; ///< Everything was replaced.
    bool has_rules = false;
    bool has_domains = false;
    std::set<std::string> services; ///< Those whose members changed.
};

/** A daemon's copy of its slice of the tables. Never goes back to an older generation.
    Not thread-safe. */
class subscriber_table
{
public:
    struct service
    {
        service_entry entry;
        std::vector<bucket_row> rows;
    };

    /** Takes an update in. Returns false, and changes nothing, when it is older than what is held,
       or names changed routes only while there are none. */
    bool apply(const table_update& update);

    /** What the last update that was taken in changed. */
    const table_changes& changes() const
    {
        return changes_;
    }

    /** Ids of a service's members. */
    const std::set<member_id>& members_of(const std::string& name) const;

    /** Names of all services that have members. */
    std::vector<std::string> services_with_members() const;

    /** Builds the compact table for a balancer's traffic threads. */
    routing_table build_routing_table() const;

    /** The service of a name and its id, or nullptr. */
    const std::pair<const service_id, service>* find_service(const std::string& name) const;

    bool is_domain_out(const std::string& domain) const
    {
        return domains_out_.count(domain) != 0;
    }

    const std::set<std::string>& domains_out() const
    {
        return domains_out_;
    }

    generation held() const
    {
        return held_;
    }

    const std::map<service_id, service>& services() const
    {
        return services_;
    }

    /** The traffic configuration, or nullptr before one was received. */
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
