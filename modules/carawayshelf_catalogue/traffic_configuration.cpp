#include "carawayshelf_catalogue/traffic_configuration.hpp"

#include "carawayshelf_core/error.hpp"

#include <map>
#include <set>

namespace carawayshelf
{

namespace
{

void check_shares(const traffic_route& route, const std::set<std::string>& services,
                  std::vector<std::string>& faults)
{
    const std::string where = "route '" + abbreviate(route.name) + "': ";
    std::uint64_t total = 0;
    for (const service_share& share : route.shares)
    {
        total += share.weight;
        if (services.count(share.service) == 0 && faults.size() < max_reported_faults)
        {
            faults.push_back(where + "service '" + abbreviate(share.service) +
                             "' is unknown: add it to the services or correct the name");
        }
    }
    if (total == 0)
    {
        faults.push_back(where + "no service gets a share: give one a weight above 0");
    }
}

} // namespace

route_index index_routes(const traffic_configuration& configuration)
{
    route_index index;
    for (const traffic_route& route : configuration.routes)
    {
        index[route.address] = &route;
    }
    return index;
}

std::vector<std::string> find_configuration_faults(const traffic_configuration& configuration)
{
    std::vector<std::string> faults;
    std::set<std::string> services;
    for (const service_rules& service : configuration.services)
    {
        if (!services.insert(service.name).second && faults.size() < max_reported_faults)
        {
            faults.push_back("service '" + abbreviate(service.name) +
                             "' is there twice: remove one");
        }
    }
    std::map<endpoint, std::string> routes_by_address;
    for (const traffic_route& route : configuration.routes)
    {
        if (faults.size() >= max_reported_faults)
        {
            break;
        }
        const std::string name = abbreviate(route.name);
        const auto [existing, is_new] = routes_by_address.emplace(route.address, route.name);
        if (!is_new)
        {
            faults.push_back("route '" + name + "': address " + to_string(route.address) +
                             " belongs to route '" + abbreviate(existing->second) +
                             "': choose another");
        }
        if (route.timeout_ms == 0)
        {
            faults.push_back("route '" + name + "': timeout is 0: give at least 1 millisecond");
        }
        check_shares(route, services, faults);
    }
    return faults;
}

std::string join_faults(const std::vector<std::string>& faults)
{
    std::string all;
    for (const std::string& fault : faults)
    {
        all += all.empty() ? "" : "\n";
        all += fault;
    }
    return all;
}

} // namespace carawayshelf
