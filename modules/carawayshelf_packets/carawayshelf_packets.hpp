/** @file
    Module carawayshelf_packets: load balancing of flows of raw packets between a client and a
    backend server.

    Purpose: places new flows by load, finds the agent of an open flow, admits new flows at the
    agent, and keeps the agent's membership in control up to date. Only the backend server knows
    which flows it holds: it returns packets of other flows. A returned packet is forwarded to the
    candidates in its envelope one after the other, and then sent to all members of the route at
    once. A flow is reset only when each of them has answered that it doesn't hold the flow, and an
    opening packet is refused only when each of them has agreed to admit no copy of it.
    Balancers and agents only cache where flows are. Balancers learn the agents' loads from the
    answers to new flows and probes, so no traffic grows with the number of balancers times the
    number of agents.

    Dependencies: carawayshelf_core, carawayshelf_catalogue, carawayshelf_overload,
    carawayshelf_wire. Does no input or
    output: packet formats, sockets and clocks are passed in.
*/
#pragma once

#include "carawayshelf_packets/caller_failure_watch.hpp"
#include "carawayshelf_packets/client_packet.hpp"
#include "carawayshelf_packets/early_packets.hpp"
#include "carawayshelf_packets/ended_sessions.hpp"
#include "carawayshelf_packets/envelope_ring.hpp"
#include "carawayshelf_packets/flow_cache.hpp"
#include "carawayshelf_packets/flow_inquiries.hpp"
#include "carawayshelf_packets/load_tracker.hpp"
#include "carawayshelf_packets/opening_actions.hpp"
#include "carawayshelf_packets/pace_monitor.hpp"
#include "carawayshelf_packets/packet_agent.hpp"
#include "carawayshelf_packets/packet_balancer.hpp"
#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_packets/pending_openings.hpp"
#include "carawayshelf_packets/recent_flows.hpp"
#include "carawayshelf_packets/server_membership.hpp"
#include "carawayshelf_packets/server_restart_detector.hpp"
#include "carawayshelf_packets/settle_tracker.hpp"
