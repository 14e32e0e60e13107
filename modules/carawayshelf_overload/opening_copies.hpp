#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/opening_timing.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace carawayshelf
{

/** The copies of one opening packet that an agent keeps or has dropped, so that none of them can
    open the flow elsewhere. While these are all copies that the client can have sent, a reset tells
    the truth without an inquiry: the flow never opened, and no copy can open it. Not thread-safe.
 */
class opening_copies
{
public:
    /** Records a copy that has arrived.
        @param retransmission  0 for the first opening packet
        @param waited          in the processes that handled the copy, before it arrived here */
    void record(time_point now, std::uint32_t retransmission, duration waited)
    {
        if (retransmission >= copy_count || has_copy_[retransmission])
        {
            // Not a copy by the users' protocol, or one of another attempt from the same port.
            is_irregular_ = true;
            return;
        }
        has_copy_[retransmission] = true;
        // The time in the network is unknown, so the earliest estimate is the best one.
        sent_at_ = std::min(
            sent_at_, now - waited - opening_timing::elapsed_at_retransmission(retransmission));
    }

    /** Whether a refusal is certain to be true now: each copy that the client can have sent by the
        time the reset arrives there has been recorded. */
    bool is_refusal_certain(time_point now) const
    {
        return may_become_certain() && now - sent_at_ < certain_for();
    }

    /** Whether no copy was missed so far. If so, and a refusal is not certain now, the next copy
        makes it certain. */
    bool may_become_certain() const
    {
        const bool has_gap = (!has_copy_[1] && has_copy_[2]) || !has_copy_[0];
        return !has_gap && !is_irregular_;
    }

    /** When the first copy was sent, or shortly after.
        Precondition: a copy was recorded. */
    time_point sent_at() const
    {
        return sent_at_;
    }

private:
    static constexpr std::size_t copy_count = 3;

    /** A reset must be sent this long before the next copy can be. */
    static constexpr duration reset_allowance =
        opening_timing::first_retransmission_after - opening_timing::max_wait_before_refusal;

    /** From the first copy, with the copies recorded so far. Precondition: none is missing. */
    duration certain_for() const
    {
        if (has_copy_[2])
        {
            return opening_timing::attempt_timeout;
        }
        return has_copy_[1] ? opening_timing::second_retransmission_after - reset_allowance
                            : opening_timing::max_wait_before_refusal;
    }

    std::array<bool, copy_count> has_copy_{};
    bool is_irregular_ = false;
    time_point sent_at_ = time_point::max();
};

} // namespace carawayshelf
