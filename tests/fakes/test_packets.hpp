#pragma once

#include "carawayshelf_lab/plain_packets.hpp"

namespace carawayshelf::fakes
{

/** A packet of the tests. */
struct test_packet
{
    packet_header header;
    std::uint32_t sequence = 0; ///< Number of the request, or of the flow at its server.
    std::uint32_t content = 0;  ///< Index of the flow. Balancers and agents must not change it.
};

/** The packet format of the tests. */
using test_packets = lab::plain_packets<test_packet, &test_packet::sequence>;

} // namespace carawayshelf::fakes
