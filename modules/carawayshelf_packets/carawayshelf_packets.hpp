/** @file
    Module carawayshelf_packets: flows of raw packets whose ends are the client and the backend
    server.

    Purpose: placing of new flows by load, finding of open flows, the agent's gate before its
    backend server, its membership. The backend server is the truth about its flows: it returns what
    it doesn't hold; then a few likely members get the packet in turn, and after them all members of
    the route at once. A flow is reset only when every one of them has returned it. What balancers
    and agents remember of flows is a cache, and what balancers know of loads comes with the answers
    to what they send. Nothing that is sent grows with the number of balancers times that of agents.
    Dependencies: carawayshelf_core, carawayshelf_catalogue, carawayshelf_wire. Does no input or
    output: packet formats, sockets and clocks are passed in.
*/
#pragma once

#include "carawayshelf_packets/cold_rate_limiter.hpp"
#include "carawayshelf_packets/early_packets.hpp"
#include "carawayshelf_packets/envelope_ring.hpp"
#include "carawayshelf_packets/flow_cache.hpp"
#include "carawayshelf_packets/flow_inquiries.hpp"
#include "carawayshelf_packets/load_tracker.hpp"
#include "carawayshelf_packets/opening_queue.hpp"
#include "carawayshelf_packets/opening_timing.hpp"
#include "carawayshelf_packets/packet_agent.hpp"
#include "carawayshelf_packets/packet_balancer.hpp"
#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_packets/server_membership.hpp"
#include "carawayshelf_packets/service_time_meter.hpp"
