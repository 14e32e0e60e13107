#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace carawayshelf::lab
{

/** Requests at servers that started during the load, by the seconds since their start. Not
    thread-safe. */
class server_start_statistics
{
public:
    static constexpr std::size_t recorded_seconds = 10;

    /** Counts the start of a server. */
    void record_start()
    {
        ++starts_;
    }

    /** Counts a request that the server has answered. Ignored after recorded_seconds.
        @param age   of the server when it got the request
        @param time  from then until the answer */
    void record_request(duration age, duration time)
    {
        const std::size_t second = static_cast<std::size_t>(age / std::chrono::seconds(1));
        if (second < recorded_seconds)
        {
            ++requests_[second];
            times_[second] += time;
        }
    }

    std::uint64_t starts() const
    {
        return starts_;
    }

    /** Mean number of requests of a server in this second after its start.
        Precondition: second < recorded_seconds */
    double requests_per_server(std::size_t second) const
    {
        return starts_ == 0 ? 0.0
                            : static_cast<double>(requests_[second]) / static_cast<double>(starts_);
    }

    /** Mean time of those requests at the server, in milliseconds; 0 if there were none.
        Precondition: second < recorded_seconds */
    double mean_time_ms(std::size_t second) const
    {
        return requests_[second] == 0 ? 0.0
                                      : static_cast<double>(times_[second].count()) / 1000.0 /
                                            static_cast<double>(requests_[second]);
    }

private:
    std::uint64_t starts_ = 0;
    std::array<std::uint64_t, recorded_seconds> requests_{};
    std::array<duration, recorded_seconds> times_{};
};

} // namespace carawayshelf::lab
