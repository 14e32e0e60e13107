#pragma once

#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_catalogue/traffic_configuration.hpp"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawayshelf
{

/** A member as traffic threads see it. */
struct packet_member
{
    endpoint data;
    std::string domain;
    bool takes_new = false; ///< Its state and its failure domain allow new flows.
    bool is_silent = false;
    generation changed_at = 0; ///< When it joined, or its state last changed.
};

/** A service's part of a route. */
struct packet_share
{
    std::uint32_t service = 0; ///< Index into packet_table::members_of().
    std::uint32_t weight = 0;
};

/** A route as traffic threads see it. */
struct packet_route
{
    request_class requests = request_class::idempotent;
    std::uint32_t timeout_ms = 0;
    std::uint32_t target_latency_ms = 0;
    std::uint32_t priority = 0;
    std::uint32_t total_weight = 0;
    std::vector<packet_share> shares;
    std::vector<std::uint32_t> services; ///< Those of the shares, and earlier ones behind them.
};

/** Immutable copy of a subscriber's tables for traffic threads. Thread-safe. */
class packet_table
{
public:
    packet_table() = default;

    /** @param before  the table that this one replaces; routes that it had and this one lacks are
                       known as removed */
    packet_table(const subscriber_table& from, const packet_table& before);

    /** The route of an address, or nullptr. */
    const packet_route* find_route(const endpoint& address) const;

    /** Whether an address had a route earlier. */
    bool had_route(const endpoint& address) const
    {
        return removed_routes_.count(address) != 0;
    }

    /** Whether an agent has a member here. */
    bool has_agent(const endpoint& agent) const
    {
        return agents_.count(agent) != 0;
    }

    /** The member of a service that an agent has, or nullptr. */
    const packet_member* find_member(const std::string& service, const endpoint& agent) const;

    /** Members of a service. Precondition: the index comes from a route of this table. */
    const std::vector<packet_member>& members_of(std::uint32_t service) const
    {
        return members_[service];
    }

    /** Service that a new flow goes to, by the route's weights and the flow's hash. */
    std::uint32_t pick_service(const packet_route& route, std::uint64_t flow_hash) const;

    /** Whether a route's shares give new flows to a service. */
    bool leads_to(const packet_route& route, const std::string& service) const;

    /** Addresses of the routes whose shares give new flows to a service. */
    std::vector<endpoint> routes_leading_to(const std::string& service) const;

    /** Whether a route gives flows to a service, or gave it some before. */
    bool may_hold(const packet_route& route, const std::string& service) const;

    bool is_domain_out(const std::string& domain) const
    {
        return domains_out_.count(domain) != 0;
    }

    /** What a cold backend server of a service bears. */
    double cold_requests_per_s(const std::string& service) const;

    /** Flows that one backend server of a service holds; 0: no limit. */
    std::uint32_t max_flows(const std::string& service) const;

    generation held() const
    {
        return held_;
    }

    /** Every agent that has a member here. */
    const std::unordered_set<endpoint>& all_agents() const
    {
        return agents_;
    }

private:
    std::uint32_t index_of(const std::string& service);

    generation held_ = 0;
    std::unordered_map<endpoint, packet_route> routes_;
    std::unordered_set<endpoint> removed_routes_;
    std::unordered_set<endpoint> agents_;
    std::vector<std::vector<packet_member>> members_;
    std::unordered_map<std::string, std::uint32_t> services_;
    std::unordered_map<std::string, service_rules> rules_;
    std::set<std::string> domains_out_;
};

} // namespace carawayshelf
