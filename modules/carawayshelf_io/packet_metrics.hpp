#pragma once

#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_packets/packet_counters.hpp"

#include <string>
#include <vector>

namespace carawayshelf
{

/** Returns the metrics page's samples of a packet balancer's or packet agent's counters.
    Thread-safe.
    @param role  prefix of the metric names, "balancer" or "agent" */
std::vector<metric_sample> packet_metric_samples(const std::string& role,
                                                 const packet_counters& counters);

} // namespace carawayshelf
