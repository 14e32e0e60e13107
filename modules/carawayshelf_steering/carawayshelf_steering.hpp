/** @file
    Module carawayshelf_steering: decides which agent serves a flow, even while buckets move between
    owners.

    Purpose: flow hashing, bucket rows, the assignment of buckets to members, the balancer's compact
    routing table, and the rules by which agents forward datagrams of unknown flows to each other.
    Dependencies: carawayshelf_core, XXH3. Does no input or output.

    The rules are described in docs/DESIGN.md, section "Steering".
*/
#pragma once

#include "carawayshelf_steering/bucket_assigner.hpp"
#include "carawayshelf_steering/bucket_row.hpp"
#include "carawayshelf_steering/earlier_owners.hpp"
#include "carawayshelf_steering/flow_key.hpp"
#include "carawayshelf_steering/packet_flow.hpp"
#include "carawayshelf_steering/routing_table.hpp"
#include "carawayshelf_steering/steering_rules.hpp"
