#include "carawayshelf_steering/flow_key.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawayshelf
{

namespace
{

/** "caraway1" in ASCII. Must be the same on every instance. */
constexpr std::uint64_t flow_hash_seed = 0x6361726177617931ULL;

static_assert((buckets_per_service & (buckets_per_service - 1)) == 0,
              "the bucket is taken from the low bits of the hash");

} // namespace

std::uint64_t hash_of(const flow_key& key)
{
    const std::uint64_t words[2] = {
        (static_cast<std::uint64_t>(key.caller.address) << 32U) | key.caller.port, key.service};
    return XXH3_64bits_withSeed(words, sizeof(words), flow_hash_seed);
}

std::uint16_t bucket_of(const flow_key& key)
{
    return static_cast<std::uint16_t>(hash_of(key) & (buckets_per_service - 1));
}

} // namespace carawayshelf
