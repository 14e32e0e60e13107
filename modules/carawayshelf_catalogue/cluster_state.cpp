#include "carawayshelf_catalogue/cluster_state.hpp"

#include "carawayshelf_catalogue/entry_validation.hpp"
#include "carawayshelf_steering/bucket_assigner.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::size_t max_stored_answers = 10000;
constexpr std::size_t max_stored_removals = 20000;
constexpr std::uint32_t cold_weight = 1;
constexpr std::uint32_t warm_weight = 4;

std::uint32_t weight_of(member_state state)
{
    switch (state)
    {
    case member_state::cold:
        return cold_weight;
    case member_state::warm:
        return warm_weight;
    case member_state::draining:
    case member_state::silent:
        return 0;
    }
    return 0;
}

change_result refuse(error_kind kind, std::string detail, std::uint64_t version = 0)
{
    change_result result;
    result.error = kind;
    result.detail = std::move(detail);
    result.version = version;
    return result;
}

change_result accept(generation now, std::uint64_t version = 0)
{
    change_result result;
    result.made_at = now;
    result.version = version;
    return result;
}

std::string describe_conflict(const std::string& name, std::uint64_t current,
                              std::uint64_t expected)
{
    return "service '" + name + "' is at version " + std::to_string(current) + ", not " +
           std::to_string(expected) + "; run 'catalogue get " + name +
           "', then put with --expect=" + std::to_string(current);
}

} // namespace

cluster_state::cluster_state(contents from) : data_(std::move(from))
{
    routes_.reset(data_.configuration_changed_at);
}

const service_state* cluster_state::find_service(const std::string& name) const
{
    const auto found = data_.services.find(name);
    return found == data_.services.end() ? nullptr : &found->second;
}

std::uint64_t cluster_state::version_of(const std::string& service) const
{
    if (const service_state* existing = find_service(service))
    {
        return existing->version;
    }
    const auto removed = data_.removed_names.find(service);
    return removed == data_.removed_names.end() ? 0 : removed->second;
}

change_result cluster_state::apply(generation now, const change& edit)
{
    data_.held = now;
    const change_id id = id_of(edit);
    if (id != 0)
    {
        for (const std::pair<change_id, change_result>& known : data_.answers)
        {
            if (known.first == id)
            {
                return known.second;
            }
        }
    }
    change_result result =
        std::visit([this, now](const auto& typed) { return apply_edit(now, typed); }, edit);
    if (id != 0 && result.error == error_kind::none)
    {
        store_answer(id, result);
    }
    discard_old_removals();
    return result;
}

change_result cluster_state::check_put(const put_service& edit) const
{
    const std::vector<std::string> faults = find_entry_faults(edit.entry);
    if (!faults.empty())
    {
        return refuse(error_kind::invalid_entry, join_faults(faults));
    }
    const service_state* existing = find_service(edit.entry.name);
    const std::uint64_t current = version_of(edit.entry.name);
    if (current != edit.expected_version)
    {
        return refuse(error_kind::version_conflict,
                      describe_conflict(edit.entry.name, current, edit.expected_version), current);
    }
    if (existing != nullptr && existing->entry.address != edit.entry.address)
    {
        return refuse(error_kind::invalid_entry,
                      "address is " + to_string(edit.entry.address) + ", but the service is at " +
                          to_string(existing->entry.address) +
                          ": an address can't move under open flows; put a new service instead",
                      current);
    }
    for (const auto& [name, other] : data_.services)
    {
        if (name != edit.entry.name && other.entry.address == edit.entry.address)
        {
            return refuse(error_kind::address_in_use, "address " + to_string(edit.entry.address) +
                                                          " belongs to service '" + name + "'");
        }
    }
    return {};
}

change_result cluster_state::apply_edit(generation now, const put_service& edit)
{
    change_result refused = check_put(edit);
    if (refused.error != error_kind::none)
    {
        return refused;
    }
    data_.removed_names.erase(edit.entry.name);
    service_state& service = data_.services[edit.entry.name];
    if (service.id == 0)
    {
        service.id = ++data_.last_service;
        service.rows.resize(buckets_per_service);
    }
    service.entry = edit.entry;
    service.version = now;
    service.changed_at = now;
    service.entry_changed_at = now;
    reassign(now, edit.entry.name);
    return accept(now, now);
}

change_result cluster_state::apply_edit(generation now, const remove_service& edit)
{
    const service_state* existing = find_service(edit.name);
    if (existing == nullptr)
    {
        return refuse(error_kind::unknown_service, "service '" + edit.name + "' does not exist");
    }
    if (existing->version != edit.expected_version)
    {
        return refuse(error_kind::version_conflict,
                      describe_conflict(edit.name, existing->version, edit.expected_version),
                      existing->version);
    }
    data_.removed_services.emplace_back(now, existing->id);
    data_.services.erase(edit.name);
    data_.removed_names[edit.name] = now;
    return accept(now, now);
}

change_result cluster_state::apply_edit(generation now, const set_domain_state& edit)
{
    const bool has_members = std::any_of(data_.members.begin(), data_.members.end(),
                                         [&edit](const std::pair<const member_id, member>& item)
                                         { return item.second.domain == edit.domain; });
    if (!has_members && !edit.is_unconditional && data_.domains.count(edit.domain) == 0)
    {
        return refuse(error_kind::unknown_domain,
                      "no member is in failure domain '" + edit.domain + "'");
    }
    domain_state& domain = data_.domains[edit.domain];
    if (domain.out == edit.out)
    {
        return accept(domain.changed_at, domain.changed_at);
    }
    if (!edit.is_unconditional && domain.changed_at != edit.expected_version)
    {
        return refuse(error_kind::version_conflict,
                      "failure domain '" + edit.domain + "' is at version " +
                          std::to_string(domain.changed_at) + ", not " +
                          std::to_string(edit.expected_version) +
                          "; run 'domain list', then repeat with --expect=" +
                          std::to_string(domain.changed_at),
                      domain.changed_at);
    }
    domain.out = edit.out;
    domain.changed_at = now;
    std::set<std::string> affected_services;
    for (auto& [id, member_entry] : data_.members)
    {
        if (member_entry.domain != edit.domain)
        {
            continue;
        }
        affected_services.insert(member_entry.service);
        if (!edit.out)
        {
            member_entry.tenure_from = now;
            member_entry.changed_at = now;
        }
    }
    for (const std::string& service : affected_services)
    {
        reassign(now, service);
    }
    return accept(now, now);
}

change_result cluster_state::apply_edit(generation now, const announce_member& edit)
{
    for (const auto& [id, known] : data_.members)
    {
        if (known.epoch == edit.epoch && known.name == edit.name)
        {
            change_result existing_result = accept(known.changed_at);
            existing_result.member = id;
            return existing_result;
        }
    }
    member added;
    added.id = ++data_.last_member;
    added.name = edit.name;
    added.domain = edit.domain;
    added.service = edit.service;
    added.data = edit.data;
    added.epoch = edit.epoch;
    added.protocol = edit.protocol;
    added.state = edit.state;
    added.tenure_from = now;
    added.changed_at = now;
    data_.members[added.id] = added;
    data_.domains.emplace(added.domain, domain_state{false, now});
    // An earlier incarnation at the same data address can no longer be running.
    std::vector<member_id> replaced;
    for (const auto& [id, known] : data_.members)
    {
        if (id != added.id && known.data == added.data)
        {
            replaced.push_back(id);
        }
    }
    for (const member_id id : replaced)
    {
        apply_edit(now, retire_member{id});
    }
    reassign(now, added.service);
    change_result result = accept(now);
    result.member = added.id;
    result.is_first_at_address = replaced.empty();
    return result;
}

change_result cluster_state::apply_edit(generation now, const set_member_state& edit)
{
    const auto found = data_.members.find(edit.member);
    if (found == data_.members.end() || found->second.state == edit.state)
    {
        return accept(0);
    }
    found->second.state = edit.state;
    found->second.changed_at = now;
    reassign(now, found->second.service);
    return accept(now);
}

change_result cluster_state::apply_edit(generation now, const retire_member& edit)
{
    const auto found = data_.members.find(edit.member);
    if (found == data_.members.end())
    {
        return accept(0);
    }
    const std::string service = found->second.service;
    data_.members.erase(found);
    data_.removed_members.emplace_back(now, edit.member);
    reassign(now, service);
    return accept(now);
}

change_result cluster_state::apply_edit(generation now, const release_buckets& edit)
{
    const auto found = data_.members.find(edit.member);
    const auto service = found == data_.members.end() ? data_.services.end()
                                                      : data_.services.find(found->second.service);
    if (service == data_.services.end())
    {
        return accept(0);
    }
    bool changed = false;
    for (const released_bucket& released : edit.buckets)
    {
        if (released.bucket < service->second.rows.size())
        {
            changed |= release_bucket(service->second.rows[released.bucket], edit.member,
                                      released.reported_at, now);
        }
    }
    if (changed)
    {
        service->second.changed_at = now;
        // A bucket whose list of earlier owners was full can be reassigned now.
        reassign(now, service->first);
    }
    return accept(changed ? now : 0);
}

change_result cluster_state::apply_edit(generation now, const replace_configuration& edit)
{
    const std::vector<std::string> faults = find_configuration_faults(edit.configuration);
    if (!faults.empty())
    {
        return refuse(error_kind::invalid_entry, join_faults(faults));
    }
    const std::uint64_t current = data_.configuration.version;
    const bool is_first = data_.configuration_changed_at == 0;
    if (!is_first && edit.configuration.version == current &&
        edit.configuration.content != data_.configuration.content)
    {
        return refuse(error_kind::version_conflict,
                      "version " + std::to_string(current) +
                          " is held with other content: read it, then send a higher version",
                      current);
    }
    if (!is_first && edit.configuration.version <= current)
    {
        return accept(data_.configuration_changed_at, current);
    }
    const traffic_configuration before = std::exchange(data_.configuration, edit.configuration);
    const earlier_services before_earlier =
        std::exchange(data_.earlier, collect_earlier_services(before));
    data_.configuration_changed_at = now;
    if (is_first)
    {
        routes_.reset(now);
    }
    else
    {
        routes_.record_replacement(now, {before, before_earlier}, rules());
    }
    return accept(now, edit.configuration.version);
}

/** Lists the services that received flows of the current routes under earlier configurations. */
earlier_services cluster_state::collect_earlier_services(const traffic_configuration& before) const
{
    const route_index previous_routes = index_routes(before);
    earlier_services kept;
    for (const traffic_route& route : data_.configuration.routes)
    {
        const auto found = previous_routes.find(route.address);
        if (found == previous_routes.end())
        {
            continue;
        }
        std::vector<std::string>& names = kept[route.address];
        const auto earlier = data_.earlier.find(route.address);
        if (earlier != data_.earlier.end())
        {
            names = earlier->second;
        }
        for (const service_share& share : found->second->shares)
        {
            if (std::find(names.begin(), names.end(), share.service) == names.end())
            {
                names.push_back(share.service);
            }
        }
    }
    return kept;
}

void cluster_state::reassign(generation now, const std::string& service)
{
    const auto found = data_.services.find(service);
    if (found == data_.services.end())
    {
        return;
    }
    std::vector<assignment_member> members;
    for (const auto& [id, member_entry] : data_.members)
    {
        const auto domain = data_.domains.find(member_entry.domain);
        const bool out = domain != data_.domains.end() && domain->second.out;
        if (member_entry.service == service && !out)
        {
            members.push_back({id, member_entry.domain, weight_of(member_entry.state)});
        }
    }
    assign_buckets(found->second.rows, members, now);
    found->second.changed_at = now;
}

void cluster_state::store_answer(change_id id, const change_result& result)
{
    data_.answers.emplace_back(id, result);
    if (data_.answers.size() > max_stored_answers)
    {
        data_.answers.pop_front();
    }
}

void cluster_state::discard_old_removals()
{
    while (data_.removed_services.size() > max_stored_removals)
    {
        data_.horizon = std::max(data_.horizon, data_.removed_services.front().first);
        data_.removed_services.pop_front();
    }
    while (data_.removed_members.size() > max_stored_removals)
    {
        data_.horizon = std::max(data_.horizon, data_.removed_members.front().first);
        data_.removed_members.pop_front();
    }
}

service_update cluster_state::make_service_update(const service_state& service,
                                                  generation since) const
{
    service_update update;
    update.id = service.id;
    update.entry = service.entry;
    for (std::size_t bucket = 0; bucket < service.rows.size(); ++bucket)
    {
        if (service.rows[bucket].changed_at > since)
        {
            update.rows.push_back({static_cast<std::uint16_t>(bucket), service.rows[bucket]});
        }
    }
    return update;
}

rules_view cluster_state::rules() const
{
    return {data_.configuration, data_.earlier};
}

void cluster_state::collect_rules(generation since, table_update& update) const
{
    update.has_changed_routes_only = routes_.covers(since);
    if (update.has_changed_routes_only)
    {
        update.rules = routes_.collect(since, rules());
        update.removed_routes = routes_.routes_removed_after(since);
        return;
    }
    const std::shared_ptr<traffic_rules> whole = std::make_shared<traffic_rules>();
    whole->configuration = data_.configuration;
    whole->configuration.content.clear();
    whole->earlier = data_.earlier;
    update.rules = whole;
}

table_update cluster_state::collect_update(generation since, const std::string& only_service) const
{
    table_update update;
    update.held = data_.held;
    update.complete = since == 0 || since < data_.horizon;
    const generation from = update.complete ? 0 : since;
    for (const auto& [name, service] : data_.services)
    {
        if ((only_service.empty() || only_service == name) && service.changed_at > from)
        {
            update.services.push_back(make_service_update(service, from));
        }
    }
    for (const auto& [id, member_entry] : data_.members)
    {
        if ((only_service.empty() || only_service == member_entry.service) &&
            member_entry.changed_at > from)
        {
            update.members.push_back(member_entry);
        }
    }
    for (const std::pair<generation, service_id>& removed : data_.removed_services)
    {
        if (removed.first > from)
        {
            update.removed_services.push_back(removed.second);
        }
    }
    for (const std::pair<generation, member_id>& removed : data_.removed_members)
    {
        if (removed.first > from)
        {
            update.removed_members.push_back(removed.second);
        }
    }
    if (data_.configuration_changed_at > from)
    {
        collect_rules(from, update);
    }
    for (const auto& [name, domain] : data_.domains)
    {
        if (domain.out)
        {
            update.domains_out.push_back(name);
        }
    }
    return update;
}

} // namespace carawayshelf
