#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <map>
#include <string>

namespace carawayshelf
{

/** Stores the states of agents that are being restarted, for a short time; each can be claimed only
    once. Kept in memory only: if a state is lost, the next incarnation of the agent starts a new
    epoch, which is always safe. Not thread-safe; does no I/O. */
class restart_state_store
{
public:
    /** An older state is useless: with the default lease its member was retired long before. */
    static constexpr duration max_state_age = std::chrono::seconds(30);

    /** Limit for all states together; a state that exceeds it is rejected. */
    static constexpr std::size_t max_total_bytes = std::size_t{64} * 1024 * 1024;

    /** Stores a state, replacing an older one of the same agent. Returns false if it would exceed
        max_total_bytes. */
    bool store(time_point now, const std::string& name, std::string content);

    /** Removes and returns the state of an agent; empty if there is none. */
    std::string claim(time_point now, const std::string& name);

private:
    struct saved_state
    {
        time_point stored_at;
        std::string content;
    };

    void expire(time_point now);

    std::map<std::string, saved_state> states_;
    std::size_t total_bytes_ = 0;
};

} // namespace carawayshelf
