#pragma once

#include "carawayshelf_consensus/consensus_core.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace carawayshelf
{

/** Place of a control instance among its peers: a number from 1 where the settings list all of
    them, and the IPv4 address where they find each other. */
using instance_slot = std::uint32_t;

/** Slot that an identity was minted for. Thread-safe. */
instance_slot slot_of(instance_id identity);

/** Makes an identity for a slot out of random bits. Thread-safe. */
instance_id make_identity(instance_slot slot, std::uint64_t random);

/** Identity of a slot at the first start of a whole cluster, which all instances can tell. */
instance_id first_identity(instance_slot slot);

/** Decides at the leader who votes. An identity whose slot has another one now has lost its disk
   and can't answer any more: it is removed first, since with its successor beside it a majority
   would take every instance that is left. The successor learns meanwhile, and votes once it has
   caught up. So a lost disk is replaced without ever counting on what was lost. Not thread-safe; no
   I/O.
 */
class membership_manager
{
public:
    /** @param slots  how many control instances there should be; 0 where they find each other: then
            a voter that is silent for long gives way once the others are enough without it */
    explicit membership_manager(std::size_t expected_instances);

    /** An instance has told which identity its slot has now. */
    void set_identity(instance_slot slot, instance_id identity);

    /** The instance of a slot can't be reached; it counts as lost until it is heard of again. */
    void clear_identity(instance_slot slot);

    /** Slots of the instances that can be reached. */
    std::vector<instance_slot> known_slots() const;

    /** Proposes the next step, if one is due. Returns whether it did. */
    bool propose_next_change(time_point now, consensus_core& core);

    /** Whether any one more control instance can be lost, disk and all, without losing the
       majority. Precondition: the core leads. */
    bool is_safe_to_lose_one(time_point now, const consensus_core& core) const;

    /** Identity that a slot has now; zero when unknown. */
    instance_id identity_of(instance_slot slot) const;

private:
    bool is_lost_voter(time_point now, const consensus_core& core, instance_id voter);
    bool remove_lost_voter(time_point now, consensus_core& core);

    std::size_t expected_instances_;
    std::map<instance_id, time_point> lost_since_; ///< Voters that the leader doesn't hear.
    std::map<instance_slot, instance_id> identities_;
};

} // namespace carawayshelf
