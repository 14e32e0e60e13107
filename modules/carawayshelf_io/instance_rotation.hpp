#pragma once

#include "carawayshelf_core/endpoint.hpp"

#include <random>
#include <vector>

namespace carawayshelf
{

/** The order in which a daemon tries the control instances. It is random, so that the daemons are
    spread evenly over the instances, and no instance is tried again before all others have been,
    even if instances join or leave meanwhile. Not thread-safe. */
class instance_rotation
{
public:
    /** @param configured  instances from the settings, which are always tried
        @param seed        seed of the random order */
    instance_rotation(std::vector<endpoint> configured, std::uint32_t seed);

    /** Returns the next instance to try. Precondition: at least one is configured or known. */
    endpoint next();

    /** Replaces the set of known instances besides the configured ones. */
    void update(const std::vector<endpoint>& instances);

    /** Replaces the configured instances, after the settings have changed. */
    void set_configured(const std::vector<endpoint>& instances);

private:
    void add(const std::vector<endpoint>& instances);
    void remove_unlisted();

    std::vector<endpoint> configured_;
    std::vector<endpoint> known_;   ///< From the last update().
    std::vector<endpoint> untried_; ///< Still to be tried in this round, in this order.
    std::vector<endpoint> tried_;   ///< Already tried in this round, in this order.
    std::mt19937 random_;
};

} // namespace carawayshelf
