#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace carawayshelf::lab
{

/** A link with a limited bandwidth and a queue. Not thread-safe. */
class model_link
{
public:
    /** @param kbit_per_s  0: no limit */
    explicit model_link(std::uint64_t kbit_per_s) : kbit_per_s_(kbit_per_s)
    {
    }

    /** Sends a datagram. Returns its queueing delay plus transmission time, or nothing if the queue
        is full and the datagram is dropped. */
    std::optional<duration> send(time_point now, std::size_t bytes)
    {
        if (kbit_per_s_ == 0)
        {
            return duration(0);
        }
        const time_point start = std::max(now, free_at_);
        if (start - now > max_queue_delay)
        {
            return std::nullopt;
        }
        free_at_ = start + duration(bytes * 8 * 1000 / kbit_per_s_);
        return free_at_ - now;
    }

private:
    static constexpr duration max_queue_delay = std::chrono::milliseconds(500);

    std::uint64_t kbit_per_s_;
    time_point free_at_;
};

} // namespace carawayshelf::lab
