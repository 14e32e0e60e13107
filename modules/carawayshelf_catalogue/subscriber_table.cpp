#include "carawayshelf_catalogue/subscriber_table.hpp"

#include "carawayshelf_steering/flow_key.hpp"

#include <algorithm>
#include <unordered_set>

namespace carawayshelf
{

bool subscriber_table::apply(const table_update& update)
{
    const bool lacks_rules = update.rules && update.has_changed_routes_only && !rules_;
    if (update.held < held_ || lacks_rules)
    {
        return false;
    }
    held_ = update.held;
    changes_ = {};
    changes_.is_complete = update.complete;
    if (update.complete)
    {
        services_.clear();
        members_.clear();
        members_of_.clear();
    }
    for (const service_id removed : update.removed_services)
    {
        services_.erase(removed);
    }
    for (const member_id removed : update.removed_members)
    {
        erase_member(removed);
    }
    for (const member& changed : update.members)
    {
        put_member(changed);
    }
    for (const service_update& changed : update.services)
    {
        service& stored = services_[changed.id];
        stored.entry = changed.entry;
        stored.rows.resize(buckets_per_service);
        for (const numbered_row& row : changed.rows)
        {
            stored.rows[row.bucket] = row.row;
        }
    }
    if (update.rules)
    {
        apply_rules(update);
        changes_.has_rules = true;
    }
    std::set<std::string> domains_out(update.domains_out.begin(), update.domains_out.end());
    changes_.has_domains = domains_out != domains_out_;
    domains_out_ = std::move(domains_out);
    return true;
}

void subscriber_table::apply_rules(const table_update& update)
{
    if (!update.has_changed_routes_only)
    {
        rules_ = update.rules;
        return;
    }
    const traffic_configuration& changed = update.rules->configuration;
    const std::shared_ptr<traffic_rules> merged = std::make_shared<traffic_rules>(*rules_);
    traffic_configuration& next = merged->configuration;
    next.version = changed.version;
    next.idle_timeout_ms = changed.idle_timeout_ms;
    if (!changed.services.empty())
    {
        next.services = changed.services;
    }
    std::unordered_set<endpoint> replaced(update.removed_routes.begin(),
                                          update.removed_routes.end());
    for (const traffic_route& route : changed.routes)
    {
        replaced.insert(route.address);
    }
    next.routes.erase(std::remove_if(next.routes.begin(), next.routes.end(),
                                     [&replaced](const traffic_route& route)
                                     { return replaced.count(route.address) != 0; }),
                      next.routes.end());
    for (const endpoint& address : replaced)
    {
        merged->earlier.erase(address);
    }
    next.routes.insert(next.routes.end(), changed.routes.begin(), changed.routes.end());
    merged->earlier.insert(update.rules->earlier.begin(), update.rules->earlier.end());
    rules_ = merged;
}

void subscriber_table::put_member(const member& changed)
{
    erase_member(changed.id);
    members_[changed.id] = changed;
    members_of_[changed.service].insert(changed.id);
    changes_.services.insert(changed.service);
}

void subscriber_table::erase_member(member_id removed)
{
    const auto found = members_.find(removed);
    if (found == members_.end())
    {
        return;
    }
    const std::string& name = found->second.service;
    changes_.services.insert(name);
    const auto ids = members_of_.find(name);
    ids->second.erase(removed);
    if (ids->second.empty())
    {
        members_of_.erase(ids);
    }
    members_.erase(found);
}

const std::set<member_id>& subscriber_table::members_of(const std::string& name) const
{
    static const std::set<member_id> none;
    const auto found = members_of_.find(name);
    return found == members_of_.end() ? none : found->second;
}

std::vector<std::string> subscriber_table::services_with_members() const
{
    std::vector<std::string> names;
    for (const auto& [name, ids] : members_of_)
    {
        names.push_back(name);
    }
    return names;
}

const std::pair<const service_id, subscriber_table::service>*
subscriber_table::find_service(const std::string& name) const
{
    for (const std::pair<const service_id, service>& item : services_)
    {
        if (item.second.entry.name == name)
        {
            return &item;
        }
    }
    return nullptr;
}

routing_table subscriber_table::build_routing_table() const
{
    routing_table::builder builder(held_);
    for (const auto& [id, member_entry] : members_)
    {
        builder.add_member({id, member_entry.data, member_entry.tenure_from});
    }
    for (const auto& [id, stored] : services_)
    {
        builder.add_service(id, stored.entry.address, stored.rows);
    }
    return builder.build();
}

} // namespace carawayshelf
