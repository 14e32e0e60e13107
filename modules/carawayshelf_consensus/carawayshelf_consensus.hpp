/** @file
    Module carawayshelf_consensus: a replicated log with one leader, by the Raft algorithm.

    Purpose: agreement of the control instances on the order of changes. Implements pre-vote, a
    leader that steps down without a quorum, reads confirmed by a quorum, membership changes of one
    voter at a time, and snapshots for followers whose next record was discarded.
    Dependencies: carawayshelf_core. Performs no I/O: the driver of consensus_core stores the
    records and sends the messages that the core returns, and passes in the time and the received
    messages.

    Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014. A log entry of the source
    is a log_record here, since "entry" means a catalogue entry in this project.
*/
#pragma once

#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/log_store.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "carawayshelf_consensus/message.hpp"
#include "carawayshelf_consensus/order_fence.hpp"
#include "carawayshelf_consensus/replicated_log.hpp"
#include "carawayshelf_consensus/voter_quorum.hpp"
