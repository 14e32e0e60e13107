#pragma once

#include "carawayshelf_lab/plain_packets.hpp"

namespace carawayshelf::fakes
{

/** What a packet of the tests holds. */
struct test_packet
{
    packet_header head;
    std::uint32_t sequence = 0; ///< What a server numbers its incarnations of a flow with.
    std::uint32_t content = 0;  ///< Must arrive as it was sent.
};

/** A packet format for tests. */
using test_packets = lab::plain_packets<test_packet, &test_packet::sequence>;

} // namespace carawayshelf::fakes
