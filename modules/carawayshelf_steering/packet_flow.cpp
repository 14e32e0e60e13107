#include "carawayshelf_steering/packet_flow.hpp"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawayshelf
{

std::uint64_t hash_flow(const packet_flow& flow)
{
    const std::array<std::uint32_t, 3> words = {
        flow.client.address, flow.service.address,
        (static_cast<std::uint32_t>(flow.client.port) << 16U) | flow.service.port};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t rendezvous_rank(std::uint64_t flow_hash, const endpoint& member)
{
    const std::array<std::uint64_t, 2> words = {flow_hash, pack_endpoint(member)};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace carawayshelf
