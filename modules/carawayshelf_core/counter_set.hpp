#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace carawayshelf
{

/** One counter for each value of an enumeration whose values run from 0 to Count - 1. Thread-safe.
 */
template <typename Enum, std::size_t Count>
class counter_set
{
public:
    void add(Enum counter, std::uint64_t count = 1)
    {
        values_[static_cast<std::size_t>(counter)].fetch_add(count, std::memory_order_relaxed);
    }

    std::uint64_t get(Enum counter) const
    {
        return values_[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
    }

    std::uint64_t total() const
    {
        std::uint64_t sum = 0;
        for (const std::atomic<std::uint64_t>& value : values_)
        {
            sum += value.load(std::memory_order_relaxed);
        }
        return sum;
    }

private:
    std::array<std::atomic<std::uint64_t>, Count> values_{};
};

} // namespace carawayshelf
