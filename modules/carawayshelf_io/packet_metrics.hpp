#pragma once

#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_packets/packet_counters.hpp"

#include <string>
#include <vector>

namespace carawayshelf
{

/** The counters of a packet balancer or packet agent for the metrics page. Thread-safe. */
std::vector<metric_sample> packet_metric_samples(const std::string& role,
                                                 const packet_counters& counters);

} // namespace carawayshelf
