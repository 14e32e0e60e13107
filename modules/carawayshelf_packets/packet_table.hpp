#pragma once

#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/agent_set.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawayshelf
{

/** A member of a service, as traffic threads need it. */
struct packet_member
{
    endpoint data;
    std::string domain;
    bool accepts_new_flows = false; ///< Its state and its failure domain allow new flows.
    bool is_silent = false;
    bool is_cold = false;      ///< Its state is cold: its backend server started recently.
    generation changed_at = 0; ///< Generation in which it joined or last changed state.
};

/** The weight of a service in a route. */
struct packet_share
{
    std::uint32_t service = 0; ///< Index into packet_table::members_of().
    std::uint32_t weight = 0;
};

/** A route, as traffic threads need it. */
struct packet_route
{
    request_class requests = request_class::idempotent;
    std::uint32_t timeout_ms = 0;
    std::uint32_t target_latency_ms = 0;
    std::uint32_t priority = 0;
    std::uint32_t total_weight = 0;
    std::vector<packet_share> shares;
    std::vector<std::uint32_t> services; ///< Services of the shares, then earlier services.
};

/** Immutable copy of a subscriber's tables for traffic threads. update() shares unchanged parts
    with the previous table, so that its cost is proportional to the change. Thread-safe. */
class packet_table
{
public:
    packet_table() = default;

    /** Builds the whole table.
        @param before  the table that this one replaces; its routes that are missing here count as
                       removed */
    packet_table(const subscriber_table& from, const packet_table& before);

    /** Builds the table after an update: rebuilds the parts that from.changes() lists, and shares
        the others with before.
        Precondition: before was built from the tables as they were before that update. */
    static packet_table update(const subscriber_table& from, const packet_table& before);

    /** The route of a service address, or nullptr. */
    const packet_route* find_route(const endpoint& address) const;

    /** Whether an address had a route that was removed. */
    bool had_route(const endpoint& address) const
    {
        return routes_->removed.count(address) != 0;
    }

    /** Whether both tables share the same set of routes. */
    bool has_routes_of(const packet_table& other) const
    {
        return routes_ == other.routes_;
    }

    /** Whether the table has a member at this agent. */
    bool has_agent(const endpoint& agent) const
    {
        return agents_.contains(agent);
    }

    /** Whether the agent has members here and control marks all of them as silent. */
    bool is_silent(const endpoint& agent) const
    {
        return agents_.is_silent(agent);
    }

    /** The member of a service at an agent, or nullptr. */
    const packet_member* find_member(const std::string& service, const endpoint& agent) const;

    /** Members of a service.
        Precondition: the index comes from a route of this table. */
    const std::vector<packet_member>& members_of(std::uint32_t service) const
    {
        return *members_[service];
    }

    /** Index of the service for a new flow, chosen by the weights of the route and the hash of the
        flow.
        Precondition: the route has shares. */
    std::uint32_t choose_service(const packet_route& route, std::uint64_t flow_hash) const;

    /** Whether a route sends new flows to a service, that is, has a share of it with a weight above
        0. */
    bool routes_new_flows_to(const packet_route& route, const std::string& service) const;

    /** Addresses of the routes that send new flows to a service. */
    std::vector<endpoint> addresses_routing_new_flows_to(const std::string& service) const;

    /** Whether members of a service can hold flows of a route: the route has a share of the
        service, or had one earlier. */
    bool may_hold_flows(const packet_route& route, const std::string& service) const;

    bool is_domain_out(const std::string& domain) const
    {
        return domains_out_.count(domain) != 0;
    }

    /** Name of a failure domain that has members and this tag; empty if there is none, or if it is
        ambiguous.
        @param tag  as in packet_envelope::caller_domain */
    std::string find_domain(std::uint8_t tag) const;

    /** Rate limit of new flows for a cold backend server of a service, in flows per second; 0 if
        there is none. */
    double cold_requests_per_s(const std::string& service) const;

    /** Maximum number of flows at one backend server of a service; 0 if there is no limit. */
    std::uint32_t max_flows(const std::string& service) const;

    /** After this time without a packet, a flow may be discarded; 0 if none is configured. */
    duration idle_timeout() const
    {
        return routes_->idle_timeout;
    }

    generation held() const
    {
        return held_;
    }

private:
    using member_list = std::vector<packet_member>;
    using service_index_map = std::unordered_map<std::string, std::uint32_t>;

    /** The parts that depend only on the traffic configuration. */
    struct route_set
    {
        std::unordered_map<endpoint, packet_route> routes;
        std::unordered_set<endpoint> removed;
        std::unordered_map<std::string, service_rules> rules;
        duration idle_timeout{0};
    };

    void make_routes(const traffic_rules& rules, const packet_table& before);
    void make_members(const subscriber_table& from, const std::string& service);
    std::uint32_t index_of(const std::string& service);

    generation held_ = 0;
    std::shared_ptr<const route_set> routes_ = std::make_shared<const route_set>();
    agent_set agents_;
    std::vector<std::shared_ptr<const member_list>> members_; ///< Indexed by packet_share::service.
    std::shared_ptr<const service_index_map> service_indexes_ =
        std::make_shared<const service_index_map>();
    std::set<std::string> domains_out_;
};

} // namespace carawayshelf
