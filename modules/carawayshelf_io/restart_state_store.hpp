#pragma once

#include "carawayshelf_core/clock_time.hpp"

#include <map>
#include <string>

namespace carawayshelf
{

/** Keeps sealed states of agents that are being restarted, for a short time and for one taker each.
    Only in memory: where it is lost, the successor starts a new epoch, which is always safe. Not
    thread-safe; no I/O. */
class restart_state_store
{
public:
    /** Longest time that a state is kept; a member without heartbeats is given up long before. */
    static constexpr duration max_state_age = std::chrono::seconds(30);

    /** Most bytes that all states together may take; more are turned away. */
    static constexpr std::size_t max_total_bytes = std::size_t{64} * 1024 * 1024;

    /** Keeps a state in place of an older one of the same name. Returns whether there was room. */
    bool store(time_point now, const std::string& name, std::string content);

    /** Gives a state out, once; empty when there is none. */
    std::string claim(time_point now, const std::string& name);

private:
    struct stored_state
    {
        time_point stored_at;
        std::string content;
    };

    void expire(time_point now);

    std::map<std::string, stored_state> states_;
    std::size_t total_bytes_ = 0;
};

} // namespace carawayshelf
