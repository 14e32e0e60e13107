/** @file
    Module carawayshelf_consensus: a replicated log with one leader.

    Purpose: agreement of the control instances on the order of changes. Pre-vote, a leader that
    steps down without a quorum, reads confirmed by a quorum, one-at-a-time membership change,
    snapshots for followers that are behind.
    Dependencies: carawayshelf_core. Does no input or output: whoever drives the core stores what it
    is told to store, sends what it is told to send, and passes time and messages in.

    Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014 (the Raft algorithm).
*/
#pragma once

#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/log_store.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "carawayshelf_consensus/message.hpp"
#include "carawayshelf_consensus/replicated_log.hpp"
