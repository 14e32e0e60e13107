#include "carawayshelf_packets/packet_table.hpp"

#include <algorithm>

namespace carawayshelf
{

packet_table::packet_table(const subscriber_table& from, const packet_table& before)
    : held_(from.held()), removed_routes_(before.removed_routes_), domains_out_(from.domains_out())
{
    for (const auto& [address, route] : before.routes_)
    {
        removed_routes_.insert(address);
    }
    if (!from.rules())
    {
        return;
    }
    const traffic_rules& rules = *from.rules();
    for (const service_rules& service : rules.configuration.services)
    {
        rules_[service.name] = service;
    }
    for (const traffic_route& source : rules.configuration.routes)
    {
        removed_routes_.erase(source.address);
        packet_route& route = routes_[source.address];
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
    for (const auto& [id, who] : from.members())
    {
        if (who.protocol != flow_protocol::packets)
        {
            continue;
        }
        packet_member added;
        added.data = who.data;
        added.domain = who.domain;
        added.changed_at = who.changed_at;
        added.is_silent = who.state == member_state::silent;
        added.takes_new = !added.is_silent && who.state != member_state::draining &&
                          domains_out_.count(who.domain) == 0;
        agents_.insert(added.data);
        members_[index_of(who.service)].push_back(std::move(added));
    }
}

std::uint32_t packet_table::index_of(const std::string& service)
{
    const auto [found, is_new] =
        services_.emplace(service, static_cast<std::uint32_t>(members_.size()));
    if (is_new)
    {
        members_.emplace_back();
    }
    return found->second;
}

const packet_route* packet_table::find_route(const endpoint& address) const
{
    const auto found = routes_.find(address);
    return found == routes_.end() ? nullptr : &found->second;
}

const packet_member* packet_table::find_member(const std::string& service,
                                               const endpoint& agent) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return nullptr;
    }
    const std::vector<packet_member>& members = members_[found->second];
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
    const auto found = services_.find(service);
    return found != services_.end() &&
           std::any_of(route.shares.begin(), route.shares.end(),
                       [&found](const packet_share& share)
                       { return share.service == found->second && share.weight != 0; });
}

std::vector<endpoint> packet_table::routes_leading_to(const std::string& service) const
{
    std::vector<endpoint> addresses;
    for (const auto& [address, route] : routes_)
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
    const auto found = services_.find(service);
    return found != services_.end() && std::find(route.services.begin(), route.services.end(),
                                                 found->second) != route.services.end();
}

double packet_table::cold_requests_per_s(const std::string& service) const
{
    const auto found = rules_.find(service);
    return found == rules_.end() ? 0.0 : found->second.cold_requests_per_s;
}

std::uint32_t packet_table::max_flows(const std::string& service) const
{
    const auto found = rules_.find(service);
    return found == rules_.end() ? 0 : found->second.max_flows;
}

} // namespace carawayshelf
