#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace carawayshelf::lab
{

/** A link that carries so much a second, with a queue. Not thread-safe. */
class model_link
{
public:
    /** @param kbit_per_s  0: no limit */
    explicit model_link(std::uint64_t kbit_per_s) : kbit_per_s_(kbit_per_s)
    {
    }

    /** Sends a datagram. Returns how long it waits and takes, or nothing where the queue is full.
     */
    std::optional<duration> send(time_point now, std::size_t bytes)
    {
        if (kbit_per_s_ == 0)
        {
            return duration(0);
        }
        const time_point starts = std::max(now, free_at_);
        if (starts - now > longest_queue)
        {
            return std::nullopt;
        }
        free_at_ = starts + duration(bytes * 8 * 1000 / kbit_per_s_);
        return free_at_ - now;
    }

private:
    static constexpr duration longest_queue = std::chrono::milliseconds(500);

    std::uint64_t kbit_per_s_;
    time_point free_at_;
};

} // namespace carawayshelf::lab
