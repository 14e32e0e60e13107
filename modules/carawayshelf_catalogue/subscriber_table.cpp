#include "carawayshelf_catalogue/subscriber_table.hpp"

#include "carawayshelf_steering/flow_key.hpp"

namespace carawayshelf
{

bool subscriber_table::apply(const table_update& update)
{
    if (update.held < held_)
    {
        return false;
    }
    held_ = update.held;
    if (update.complete)
    {
        services_.clear();
        members_.clear();
    }
    for (const service_id removed : update.removed_services)
    {
        services_.erase(removed);
    }
    for (const member_id removed : update.removed_members)
    {
        members_.erase(removed);
    }
    for (const member& changed : update.members)
    {
        members_[changed.id] = changed;
    }
    for (const service_update& changed : update.services)
    {
        service& held = services_[changed.id];
        held.entry = changed.entry;
        held.rows.resize(buckets_per_service);
        for (const numbered_row& row : changed.rows)
        {
            held.rows[row.bucket] = row.row;
        }
    }
    if (update.rules)
    {
        rules_ = update.rules;
    }
    domains_out_ = std::set<std::string>(update.domains_out.begin(), update.domains_out.end());
    return true;
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
    for (const auto& [id, who] : members_)
    {
        builder.add_member({id, who.data, who.tenure_from});
    }
    for (const auto& [id, held] : services_)
    {
        builder.add_service(id, held.entry.address, held.rows);
    }
    return builder.build();
}

} // namespace carawayshelf
