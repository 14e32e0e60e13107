#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** What an Echo value says about its request. */
enum class echo_verdict
{
    valid,   ///< This epoch minted it for this flow, not long ago.
    expired, ///< This epoch minted it for this flow, too long ago.
    invalid  ///< Anything else: another epoch, another flow, or made up.
};

/** Mints and checks the Echo values (RFC 9175) of one epoch of an agent. A non-idempotent request
    runs only with a valid one, so a copy that reaches another agent, or the next epoch, never runs.
    Thread-safe. */
class echo_issuer
{
public:
    /** How long a value stays valid; shorter than answers are remembered, so that a late copy of
        an answered request is always recognised. */
    static constexpr duration lifetime = std::chrono::seconds(120);

    /** @param secret        random, and different for each epoch
        @param clock_offset  what to add to an instant to get one of the clock that the epoch's
       first incarnation minted by */
    explicit echo_issuer(std::uint64_t secret, duration clock_offset = duration{0});

    /** An instant on the clock that values are minted by. */
    duration epoch_clock(time_point now) const
    {
        return now.time_since_epoch() + clock_offset_;
    }

    std::string issue(time_point now, const flow_key& flow) const;

    echo_verdict check(time_point now, const flow_key& flow, std::string_view value) const;

private:
    std::uint64_t sign(std::uint64_t issued_us, const flow_key& flow) const;

    std::uint64_t secret_;
    duration clock_offset_;
};

} // namespace carawayshelf
