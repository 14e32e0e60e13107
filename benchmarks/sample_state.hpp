#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace carawayshelf::benchmarks
{

/** Makes every earlier owner release its buckets, as it does after its flows have ended. */
inline void release_all_buckets(cluster_state& state)
{
    const std::map<member_id, member> members = state.data().members;
    for (const auto& [id, item] : members)
    {
        release_buckets release;
        release.member = id;
        for (std::uint16_t bucket = 0; bucket < buckets_per_service; ++bucket)
        {
            release.buckets.push_back({bucket, state.data().held});
        }
        state.apply(state.data().held + 1, release);
    }
}

/** Returns a state in which each service has servers_each backend servers, spread over 19 failure
    domains. */
inline cluster_state make_state(std::size_t services, std::size_t servers_each)
{
    cluster_state state;
    generation now = 0;
    std::uint32_t number = 0;
    for (std::size_t s = 0; s < services; ++s)
    {
        put_service put;
        put.entry.name = "service-" + std::to_string(s);
        put.entry.owner = "owner";
        put.entry.address = {0x7F090000 + static_cast<std::uint32_t>(s), 5683};
        state.apply(++now, put);
        for (std::size_t i = 0; i < servers_each; ++i)
        {
            ++number;
            announce_member announce;
            announce.name = "agent-" + std::to_string(number);
            announce.domain = "domain-" + std::to_string(number % 19);
            announce.service = put.entry.name;
            announce.data = {0x7F100000 + number, 7201};
            announce.epoch = number;
            state.apply(++now, announce);
        }
    }
    return state;
}

/** Returns a state with one service and one server, which may hold 100,000 flows. */
inline cluster_state make_high_flow_limit_state()
{
    cluster_state state = make_state(1, 1);
    put_service put;
    put.entry = state.find_service("service-0")->entry;
    put.entry.limits.server_flows = 100000;
    put.expected_version = state.version_of("service-0");
    state.apply(state.data().held + 1, put);
    return state;
}

} // namespace carawayshelf::benchmarks
