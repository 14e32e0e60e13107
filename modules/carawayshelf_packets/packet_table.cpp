#include "carawayshelf_packets/packet_table.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

packet_member make_member(const member& who, const std::set<std::string>& domains_out)
{
    packet_member made;
    made.data = who.data;
    made.domain = who.domain;
    made.changed_at = who.changed_at;
    made.is_silent = who.state == member_state::silent;
    made.is_cold = who.state == member_state::cold;
    made.takes_new = !made.is_silent && who.state != member_state::draining &&
                     domains_out.count(who.domain) == 0;
    return made;
}

/** Makes a set count a service's present members instead of its earlier ones. */
void replace_members(agent_set& agents, const std::vector<packet_member>& before,
                     const std::vector<packet_member>& after)
{
    std::unordered_map<endpoint, agent_set::member_counts> differences;
    const auto count = [&differences](const packet_member& who, std::int32_t sign)
    {
        agent_set::member_counts& difference = differences[who.data];
        difference.all += sign;
        difference.heard += who.is_silent ? 0 : sign;
    };
    for (const packet_member& who : before)
    {
        count(who, -1);
    }
    for (const packet_member& who : after)
    {
        count(who, 1);
    }
    for (const auto& [agent, difference] : differences)
    {
        agents.change(agent, difference);
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
    packet_table made = before;
    made.held_ = from.held();
    if (changes.has_rules)
    {
        made.make_routes(*from.rules(), before);
    }
    for (const std::string& service : changes.services)
    {
        made.make_members(from, service);
    }
    return made;
}

void packet_table::make_routes(const traffic_rules& rules, const packet_table& before)
{
    const std::shared_ptr<route_set> made = std::make_shared<route_set>();
    made->removed = before.routes_->removed;
    for (const auto& [address, route] : before.routes_->routes)
    {
        made->removed.insert(address);
    }
    for (const service_rules& service : rules.configuration.services)
    {
        made->rules[service.name] = service;
    }
    for (const traffic_route& source : rules.configuration.routes)
    {
        made->removed.erase(source.address);
        packet_route& route = made->routes[source.address];
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
    routes_ = made;
}

void packet_table::make_members(const subscriber_table& from, const std::string& service)
{
    const std::shared_ptr<member_list> made = std::make_shared<member_list>();
    for (const member_id id : from.members_of(service))
    {
        const member& who = from.members().at(id);
        if (who.protocol == flow_protocol::packets)
        {
            made->push_back(make_member(who, domains_out_));
        }
    }
    std::shared_ptr<const member_list>& held = members_[index_of(service)];
    replace_members(agents_, *held, *made);
    held = made;
}

std::uint32_t packet_table::index_of(const std::string& service)
{
    const auto found = numbers_->find(service);
    if (found != numbers_->end())
    {
        return found->second;
    }
    const std::uint32_t added = static_cast<std::uint32_t>(members_.size());
    const std::shared_ptr<service_numbers> numbers = std::make_shared<service_numbers>(*numbers_);
    numbers->emplace(service, added);
    numbers_ = numbers;
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
    const auto found = numbers_->find(service);
    if (found == numbers_->end())
    {
        return nullptr;
    }
    const member_list& members = members_of(found->second);
    const auto member =
        std::find_if(members.begin(), members.end(),
                     [&agent](const packet_member& who) { return who.data == agent; });
    return member == members.end() ? nullptr : &*member;
}

std::uint32_t packet_table::pick_service(const packet_route& route, std::uint64_t flow_hash) const
{
    std::uint64_t left = route.total_weight == 0 ? 0 : flow_hash % route.total_weight;
    for (const packet_share& share : route.shares)
    {
        if (left < share.weight)
        {
            return share.service;
        }
        left -= share.weight;
    }
    return route.shares.front().service;
}

bool packet_table::leads_to(const packet_route& route, const std::string& service) const
{
    const auto found = numbers_->find(service);
    return found != numbers_->end() &&
           std::any_of(route.shares.begin(), route.shares.end(),
                       [&found](const packet_share& share)
                       { return share.service == found->second && share.weight != 0; });
}

std::vector<endpoint> packet_table::routes_leading_to(const std::string& service) const
{
    std::vector<endpoint> addresses;
    for (const auto& [address, route] : routes_->routes)
    {
        if (leads_to(route, service))
        {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool packet_table::may_hold(const packet_route& route, const std::string& service) const
{
    const auto found = numbers_->find(service);
    return found != numbers_->end() && std::find(route.services.begin(), route.services.end(),
                                                 found->second) != route.services.end();
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
