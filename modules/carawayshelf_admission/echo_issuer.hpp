#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Result of checking an Echo value. */
enum class echo_verdict
{
    valid,   ///< Issued in this epoch for this flow, within the lifetime.
    expired, ///< Issued in this epoch for this flow, longer ago than the lifetime.
    invalid  ///< Of another epoch, of another flow, or forged.
};

/** Issues and checks the Echo values (RFC 9175) of one epoch of an agent. A non-idempotent request
    runs only with a valid value, so a copy that reaches another agent, or this agent in a later
    epoch, never runs. Thread-safe. */
class echo_issuer
{
public:
    /** How long a value is valid. Shorter than exchange_cache::lifetime, so that a late copy of an
        answered request is always recognised as a duplicate. */
    static constexpr duration lifetime = std::chrono::seconds(120);

    /** @param secret        random, and different for each epoch
        @param clock_offset  added to the time of this process to get the time of the first process
                             of the epoch */
    explicit echo_issuer(std::uint64_t secret, duration clock_offset = duration{0});

    /** Converts a time to the clock of the first process of the epoch. The values contain times of
        that clock. */
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
