#pragma once

#include "carawayshelf_core/endpoint.hpp"

#include <random>
#include <vector>

namespace carawayshelf
{

/** The order in which a daemon tries the control instances: its own random one, so that each
    instance carries its share of the daemons, and none is tried again before all others were,
    whatever instances join or leave meanwhile. Not thread-safe. */
class instance_rotation
{
public:
    /** @param configured  those of the settings, which are always tried too; one at least */
    instance_rotation(std::vector<endpoint> configured, std::uint32_t seed);

    /** The instance to try now. */
    endpoint next();

    /** Takes over which instances there are besides the configured ones. */
    void update(const std::vector<endpoint>& instances);

private:
    std::vector<endpoint> configured_;
    std::vector<endpoint> untried_; ///< To be tried, in this order.
    std::vector<endpoint> tried_;   ///< Tried already in this round, in this order.
    std::mt19937 random_;
};

} // namespace carawayshelf
