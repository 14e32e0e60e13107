#include "carawayshelf_packets/packet_table.hpp"

#include "carawayshelf_wire/packet_envelope.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

packet_member make_member(const member& entry, const std::set<std::string>& domains_out)
{
    packet_member result;
    result.data = entry.data;
    result.domain = entry.domain;
    result.changed_at = entry.changed_at;
    result.is_silent = entry.state == member_state::silent;
    result.is_cold = entry.state == member_state::cold;
    result.accepts_new_flows = !result.is_silent && entry.state != member_state::draining &&
                               domains_out.count(entry.domain) == 0;
    return result;
}

/** Replaces the counts of a service's previous members by those of its new members. */
void replace_members(agent_set& agents, const std::vector<packet_member>& before,
                     const std::vector<packet_member>& after)
{
    std::unordered_map<endpoint, agent_set::member_counts> differences;
    const auto count = [&differences](const packet_member& entry, std::int32_t sign)
    {
        agent_set::member_counts& difference = differences[entry.data];
        difference.all += sign;
        difference.not_silent += entry.is_silent ? 0 : sign;
    };
    for (const packet_member& entry : before)
    {
        count(entry, -1);
    }
    for (const packet_member& entry : after)
    {
        count(entry, 1);
    }
    for (const auto& [agent, difference] : differences)
    {
        agents.adjust(agent, difference);
    }
}

} // namespace

packet_table::packet_table(const subscriber_table& from, const packet_table& before)
    : held_(from.held()), domains_out_(from.domains_out())
{
    if (from.rules())
    {
        make_routes(*from.rules(), before);
    }
    for (const std::string& service : from.services_with_members())
    {
        make_members(from, service);
    }
}

packet_table packet_table::update(const subscriber_table& from, const packet_table& before)
{
    const table_changes& changes = from.changes();
    if (changes.is_complete || changes.has_domains)
    {
        return packet_table(from, before);
    }
    packet_table result = before;
    result.held_ = from.held();
    if (changes.has_rules)
    {
        result.make_routes(*from.rules(), before);
    }
    for (const std::string& service : changes.services)
    {
        result.make_members(from, service);
    }
    return result;
}

void packet_table::make_routes(const traffic_rules& rules, const packet_table& before)
{
    const std::shared_ptr<route_set> result = std::make_shared<route_set>();
    result->removed = before.routes_->removed;
    result->idle_timeout = std::chrono::milliseconds(rules.configuration.idle_timeout_ms);
    for (const auto& [address, route] : before.routes_->routes)
    {
        result->removed.insert(address);
    }
    for (const service_rules& service : rules.configuration.services)
    {
        result->rules[service.name] = service;
    }
    for (const traffic_route& source : rules.configuration.routes)
    {
        result->removed.erase(source.address);
        packet_route& route = result->routes[source.address];
        route.requests = source.requests;
        route.timeout_ms = source.timeout_ms;
        route.target_latency_ms = source.target_latency_ms;
        route.priority = source.priority;
        for (const service_share& share : source.shares)
        {
            const std::uint32_t service = index_of(share.service);
            route.shares.push_back({service, share.weight});
            route.services.push_back(service);
            route.total_weight += share.weight;
        }
        const auto earlier = rules.earlier.find(source.address);
        if (earlier == rules.earlier.end())
        {
            continue;
        }
        for (const std::string& name : earlier->second)
        {
            const std::uint32_t service = index_of(name);
            if (std::find(route.services.begin(), route.services.end(), service) ==
                route.services.end())
            {
                route.services.push_back(service);
            }
        }
    }
    routes_ = result;
}

void packet_table::make_members(const subscriber_table& from, const std::string& service)
{
    const std::shared_ptr<member_list> result = std::make_shared<member_list>();
    for (const member_id id : from.members_of(service))
    {
        const member& entry = from.members().at(id);
        if (entry.protocol == flow_protocol::packets)
        {
            result->push_back(make_member(entry, domains_out_));
        }
    }
    std::shared_ptr<const member_list>& current = members_[index_of(service)];
    replace_members(agents_, *current, *result);
    current = result;
}

std::uint32_t packet_table::index_of(const std::string& service)
{
    const auto found = service_indexes_->find(service);
    if (found != service_indexes_->end())
    {
        return found->second;
    }
    const std::uint32_t added = static_cast<std::uint32_t>(members_.size());
    const std::shared_ptr<service_index_map> indexes =
        std::make_shared<service_index_map>(*service_indexes_);
    indexes->emplace(service, added);
    service_indexes_ = indexes;
    members_.push_back(std::make_shared<const member_list>());
    return added;
}

const packet_route* packet_table::find_route(const endpoint& address) const
{
    const auto found = routes_->routes.find(address);
    return found == routes_->routes.end() ? nullptr : &found->second;
}

const packet_member* packet_table::find_member(const std::string& service,
                                               const endpoint& agent) const
{
    const auto found = service_indexes_->find(service);
    if (found == service_indexes_->end())
    {
        return nullptr;
    }
    const member_list& members = members_of(found->second);
    const auto member =
        std::find_if(members.begin(), members.end(),
                     [&agent](const packet_member& entry) { return entry.data == agent; });
    return member == members.end() ? nullptr : &*member;
}

std::uint32_t packet_table::choose_service(const packet_route& route, std::uint64_t flow_hash) const
{
    std::uint64_t remaining = route.total_weight == 0 ? 0 : flow_hash % route.total_weight;
    for (const packet_share& share : route.shares)
    {
        if (remaining < share.weight)
        {
            return share.service;
        }
        remaining -= share.weight;
    }
    return route.shares.front().service;
}

bool packet_table::routes_new_flows_to(const packet_route& route, const std::string& service) const
{
    const auto found = service_indexes_->find(service);
    return found != service_indexes_->end() &&
           std::any_of(route.shares.begin(), route.shares.end(),
                       [&found](const packet_share& share)
                       { return share.service == found->second && share.weight != 0; });
}

std::vector<endpoint> packet_table::addresses_routing_new_flows_to(const std::string& service) const
{
    std::vector<endpoint> addresses;
    for (const auto& [address, route] : routes_->routes)
    {
        if (routes_new_flows_to(route, service))
        {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool packet_table::may_hold_flows(const packet_route& route, const std::string& service) const
{
    const auto found = service_indexes_->find(service);
    return found != service_indexes_->end() &&
           std::find(route.services.begin(), route.services.end(), found->second) !=
               route.services.end();
}

std::string packet_table::find_domain(std::uint8_t tag) const
{
    std::string found;
    for (const std::shared_ptr<const member_list>& members : members_)
    {
        for (const packet_member& member : *members)
        {
            if (member.domain == found || domain_tag(member.domain) != tag)
            {
                continue;
            }
            if (!found.empty())
            {
                return {};
            }
            found = member.domain;
        }
    }
    return found;
}

double packet_table::cold_requests_per_s(const std::string& service) const
{
    const auto found = routes_->rules.find(service);
    return found == routes_->rules.end() ? 0.0 : found->second.cold_requests_per_s;
}

std::uint32_t packet_table::max_flows(const std::string& service) const
{
    const auto found = routes_->rules.find(service);
    return found == routes_->rules.end() ? 0 : found->second.max_flows;
}

} // namespace carawayshelf
