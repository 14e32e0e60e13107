#include "carawayshelf_admission/echo_minter.hpp"

#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawayshelf
{

namespace
{

struct echo_value
{
    std::uint64_t minted_us;
    std::uint64_t signature;
};

} // namespace

echo_minter::echo_minter(std::uint64_t secret, duration clock_offset)
    : secret_(secret), clock_offset_(clock_offset)
{
}

std::uint64_t echo_minter::sign(std::uint64_t minted_us, const flow_key& flow) const
{
    const std::uint64_t words[3] = {minted_us, hash_of(flow), flow.service};
    return XXH3_64bits_withSeed(words, sizeof(words), secret_);
}

std::string echo_minter::mint(time_point now, const flow_key& flow) const
{
    const std::uint64_t minted_us = static_cast<std::uint64_t>(clock_of(now).count());
    const echo_value value{minted_us, sign(minted_us, flow)};
    std::string bytes(sizeof(value), '\0');
    std::memcpy(bytes.data(), &value, sizeof(value));
    return bytes;
}

echo_verdict echo_minter::check(time_point now, const flow_key& flow, std::string_view bytes) const
{
    echo_value value{};
    if (bytes.size() != sizeof(value))
    {
        return echo_verdict::foreign;
    }
    std::memcpy(&value, bytes.data(), sizeof(value));
    if (value.signature != sign(value.minted_us, flow))
    {
        return echo_verdict::foreign;
    }
    const time_point minted{duration(static_cast<duration::rep>(value.minted_us))};
    return clock_of(now) - minted.time_since_epoch() < lifetime ? echo_verdict::valid
                                                                : echo_verdict::expired;
}

} // namespace carawayshelf
