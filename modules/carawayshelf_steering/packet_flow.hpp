#pragma once

#include "carawayshelf_core/endpoint.hpp"

#include <cstdint>

namespace carawayshelf
{

/** The two endpoints of a packet flow, as the client sees them. */
struct packet_flow
{
    endpoint client;
    endpoint service;
};

inline bool operator==(const packet_flow& a, const packet_flow& b)
{
    return a.client == b.client && a.service == b.service;
}

/** Hash of a packet flow; the same in every process. Thread-safe. */
std::uint64_t hash_flow(const packet_flow& flow);

/** Rank of a member for a flow (rendezvous hashing): when a member joins or leaves, the order of
    the others does not change. Thread-safe.

    Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998. */
std::uint64_t rendezvous_rank(std::uint64_t flow_hash, const endpoint& member);

/** Hash functor for unordered containers. */
struct packet_flow_hasher
{
    std::size_t operator()(const packet_flow& flow) const noexcept
    {
        return static_cast<std::size_t>(hash_flow(flow));
    }
};

} // namespace carawayshelf
