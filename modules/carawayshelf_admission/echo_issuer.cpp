#include "carawayshelf_admission/echo_issuer.hpp"

#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawayshelf
{

namespace
{

struct echo_value
{
    std::uint64_t issued_us;
    std::uint64_t signature;
};

} // namespace

echo_issuer::echo_issuer(std::uint64_t secret, duration clock_offset)
    : secret_(secret), clock_offset_(clock_offset)
{
}

std::uint64_t echo_issuer::sign(std::uint64_t issued_us, const flow_key& flow) const
{
    const std::uint64_t words[3] = {issued_us, hash_of(flow), flow.service};
    return XXH3_64bits_withSeed(words, sizeof(words), secret_);
}

std::string echo_issuer::issue(time_point now, const flow_key& flow) const
{
    const std::uint64_t issued_us = static_cast<std::uint64_t>(epoch_clock(now).count());
    const echo_value value{issued_us, sign(issued_us, flow)};
    std::string bytes(sizeof(value), '\0');
    std::memcpy(bytes.data(), &value, sizeof(value));
    return bytes;
}

echo_verdict echo_issuer::check(time_point now, const flow_key& flow, std::string_view bytes) const
{
    echo_value value{};
    if (bytes.size() != sizeof(value))
    {
        return echo_verdict::invalid;
    }
    std::memcpy(&value, bytes.data(), sizeof(value));
    if (value.signature != sign(value.issued_us, flow))
    {
        return echo_verdict::invalid;
    }
    const time_point issued_at{duration(static_cast<duration::rep>(value.issued_us))};
    return epoch_clock(now) - issued_at.time_since_epoch() < lifetime ? echo_verdict::valid
                                                                      : echo_verdict::expired;
}

} // namespace carawayshelf
