#pragma once

#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_packets/agent_set.hpp"

#include <memory>
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
    bool accepts_new_flows = false; ///< Its state and its failure domain allow new flows.
    bool is_silent = false;
    bool is_cold = false;      ///< Its backend server has just started.
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

/** Immutable copy of a subscriber's tables for traffic threads. A table shares what an update left
   as it was with the one before it, so that making it costs in proportion to the change.
   Thread-safe.
 */
class packet_table
{
public:
    packet_table() = default;

    /** Makes the table anew as a whole.
        @param before  the table that this one replaces; routes that it had and this one lacks are
                       known as removed */
    packet_table(const subscriber_table& from, const packet_table& before);

    /** The table after an update: makes anew what changed, as from.changes() says, and shares the
        rest. Precondition: before was made from the tables as they were before that update. */
    static packet_table update(const subscriber_table& from, const packet_table& before);

    /** The route of an address, or nullptr. */
    const packet_route* find_route(const endpoint& address) const;

    /** Whether an address had a route earlier. */
    bool had_route(const endpoint& address) const
    {
        return routes_->removed.count(address) != 0;
    }

    /** Whether both tables share their routes. */
    bool has_routes_of(const packet_table& other) const
    {
        return routes_ == other.routes_;
    }

    /** Whether an agent has a member here. */
    bool has_agent(const endpoint& agent) const
    {
        return agents_.contains(agent);
    }

    /** Whether control marks all members that an agent has here as silent. */
    bool is_silent(const endpoint& agent) const
    {
        return agents_.is_silent(agent);
    }

    /** The member of a service that an agent has, or nullptr. */
    const packet_member* find_member(const std::string& service, const endpoint& agent) const;

    /** Members of a service. Precondition: the index comes from a route of this table. */
    const std::vector<packet_member>& members_of(std::uint32_t service) const
    {
        return *members_[service];
    }

    /** Service that a new flow goes to, by the route's weights and the flow's hash. */
    std::uint32_t pick_service(const packet_route& route, std::uint64_t flow_hash) const;

    /** Whether a route's shares give new flows to a service. */
    bool routes_new_flows_to(const packet_route& route, const std::string& service) const;

    /** Addresses of the routes whose shares give new flows to a service. */
    std::vector<endpoint> addresses_routing_new_flows_to(const std::string& service) const;

    /** Whether a route gives flows to a service, or gave it some before. */
    bool may_hold_flows(const packet_route& route, const std::string& service) const;

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

private:
    using member_list = std::vector<packet_member>;
    using service_index_map = std::unordered_map<std::string, std::uint32_t>;

    /** What follows from the traffic configuration alone. */
    struct route_set
    {
        std::unordered_map<endpoint, packet_route> routes;
        std::unordered_set<endpoint> removed;
        std::unordered_map<std::string, service_rules> rules;
    };

    void make_routes(const traffic_rules& rules, const packet_table& before);
    void make_members(const subscriber_table& from, const std::string& service);
    std::uint32_t index_of(const std::string& service);

    generation held_ = 0;
    std::shared_ptr<const route_set> routes_ = std::make_shared<const route_set>();
    agent_set agents_;
    std::vector<std::shared_ptr<const member_list>> members_; ///< By the services' numbers.
    std::shared_ptr<const service_index_map> service_indexes_ =
        std::make_shared<const service_index_map>();
    std::set<std::string> domains_out_;
};

} // namespace carawayshelf
