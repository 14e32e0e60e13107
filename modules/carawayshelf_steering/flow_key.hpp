#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/identifiers.hpp"

#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** Number of buckets of each service; a power of two. Must be the same on every instance. */
constexpr std::size_t buckets_per_service = 256;

/** Identity of a flow: the caller and the service that it calls. */
struct flow_key
{
    service_id service = 0;
    endpoint caller;
};

inline bool operator==(const flow_key& a, const flow_key& b)
{
    return a.service == b.service && a.caller == b.caller;
}

/** Hash of a flow with a fixed seed; the same on every instance. Thread-safe. */
std::uint64_t hash_of(const flow_key& key);

/** Bucket of a flow, below buckets_per_service. Thread-safe. */
std::uint16_t bucket_of(const flow_key& key);

} // namespace carawayshelf

template <>
struct std::hash<carawayshelf::flow_key>
{
    std::size_t operator()(const carawayshelf::flow_key& key) const noexcept
    {
        return static_cast<std::size_t>(carawayshelf::hash_of(key));
    }
};
