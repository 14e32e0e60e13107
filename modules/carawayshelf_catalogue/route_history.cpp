#include "carawayshelf_catalogue/route_history.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace carawayshelf
{

namespace
{

bool is_same(const service_share& a, const service_share& b)
{
    return a.service == b.service && a.weight == b.weight;
}

bool is_same(const service_rules& a, const service_rules& b)
{
    return a.name == b.name && a.max_flows == b.max_flows &&
           a.cold_requests_per_s == b.cold_requests_per_s;
}

template <typename Item>
bool are_same(const std::vector<Item>& a, const std::vector<Item>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const Item& x, const Item& y) { return is_same(x, y); });
}

bool is_same(const traffic_route& a, const traffic_route& b)
{
    return std::tie(a.name, a.requests, a.timeout_ms, a.target_latency_ms, a.priority) ==
               std::tie(b.name, b.requests, b.timeout_ms, b.target_latency_ms, b.priority) &&
           are_same(a.shares, b.shares);
}

/** Returns the earlier services of a route that have no share of it now. */
std::set<std::string> earlier_services_without_share(const rules_view& rules,
                                                     const traffic_route& route)
{
    std::set<std::string> names;
    const auto earlier = rules.earlier.find(route.address);
    if (earlier != rules.earlier.end())
    {
        names.insert(earlier->second.begin(), earlier->second.end());
    }
    for (const service_share& share : route.shares)
    {
        names.erase(share.service);
    }
    return names;
}

} // namespace

void route_history::reset(generation at)
{
    changed_at_.clear();
    removed_.clear();
    services_changed_at_ = at;
    horizon_ = at;
}

void route_history::record_replacement(generation now, const rules_view& before,
                                       const rules_view& next)
{
    route_index earlier = index_routes(before.configuration);
    for (const traffic_route& route : next.configuration.routes)
    {
        const auto found = earlier.find(route.address);
        const bool is_known = found != earlier.end();
        if (!is_known || !is_same(*found->second, route) ||
            earlier_services_without_share(before, *found->second) !=
                earlier_services_without_share(next, route))
        {
            changed_at_[route.address] = now;
        }
        if (is_known)
        {
            earlier.erase(found);
        }
    }
    for (const auto& [address, route] : earlier)
    {
        changed_at_.erase(address);
        removed_.emplace_back(now, address);
    }
    while (removed_.size() > max_removals)
    {
        horizon_ = std::max(horizon_, removed_.front().first);
        removed_.pop_front();
    }
    if (!are_same(before.configuration.services, next.configuration.services))
    {
        services_changed_at_ = now;
    }
}

std::shared_ptr<const traffic_rules> route_history::collect(generation since,
                                                            const rules_view& now) const
{
    const std::shared_ptr<traffic_rules> changed = std::make_shared<traffic_rules>();
    changed->configuration.version = now.configuration.version;
    changed->configuration.idle_timeout_ms = now.configuration.idle_timeout_ms;
    for (const traffic_route& route : now.configuration.routes)
    {
        const auto found = changed_at_.find(route.address);
        if (found == changed_at_.end() || found->second <= since)
        {
            continue;
        }
        changed->configuration.routes.push_back(route);
        const auto earlier = now.earlier.find(route.address);
        if (earlier != now.earlier.end())
        {
            changed->earlier[route.address] = earlier->second;
        }
    }
    if (services_changed_at_ > since)
    {
        changed->configuration.services = now.configuration.services;
    }
    return changed;
}

std::vector<endpoint> route_history::routes_removed_after(generation since) const
{
    std::vector<endpoint> addresses;
    for (const auto& [at, address] : removed_)
    {
        if (at > since)
        {
            addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace carawayshelf
