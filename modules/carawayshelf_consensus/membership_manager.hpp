#pragma once

#include "carawayshelf_consensus/consensus_core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace carawayshelf
{

/** Identifies a control instance across disk replacements: its position from 1 in the settings if
    these list all control instances, or its IPv4 address if instances discover each other. */
using instance_slot = std::uint32_t;

/** Returns the slot that an identity was generated for. Thread-safe. */
instance_slot slot_of(instance_id identity);

/** Generates an identity for a slot from random bits. Thread-safe. */
instance_id make_identity(instance_slot slot, std::uint64_t random);

/** Returns the identity of a slot at the first start of a cluster. It depends only on the slot, so
    that all instances can compute it. Thread-safe. */
instance_id first_identity(instance_slot slot);

/** Proposes changes of the voters on the leader.

    A voter whose slot now has another identity has lost its disk and can't answer any more. It is
    removed before its replacement is added: if both were voters, a majority might require every
    remaining instance to answer. The replacement receives the log as a learner meanwhile, and
    becomes a voter once it has caught up. So no majority ever depends on what a lost disk held.

    If instances discover each other, a voter that stays silent is removed as well, as long as 2f+1
    remain for f tolerated losses. These hold each record on f+1 disks, so that f disks can be lost
    while other voters are silent. With fewer voters, one disk less could be lost, although the
    silent ones still have theirs.

    A voter beyond 2f+1, whose successor in another slot votes already, counts towards the majority
    without contributing to it once it is gone, so that no other instance could be lost. It is
    therefore removed before it stops if it announces that, and early if it falls silent. Of several
    silent ones, the one that was unreachable first goes: the others may be back with their disks.

    Not thread-safe. Performs no I/O.
*/
class membership_manager
{
public:
    /** @param expected_instances  number of control instances in the settings; 0 if instances
            discover each other. Only with 0 are voters that stay silent removed, as long as enough
            others remain.
        @param tolerated_losses  number of instances whose disks may be lost at the same time; 0 if
            not stated: then the largest minority of the voters that this leader has seen */
    explicit membership_manager(std::size_t expected_instances, std::size_t tolerated_losses = 0);

    /** Sets the current identity of a slot, as its instance reported it. */
    void set_identity(instance_slot slot, instance_id identity);

    /** Clears the identity of a slot whose instance is unreachable. The instance is not proposed as
        a voter, and is_safe_to_lose_one() does not count it, until its identity is set again. */
    void clear_identity(instance_slot slot);

    /** Sets whether the instance in a slot has announced its planned stop. It stays set while the
        instance is unreachable, until its next incarnation is known. */
    void set_stopping(instance_slot slot, bool is_stopping);

    /** Whether a voter that stops may be removed: the instances discover each other, and more
        voters are left than the tolerated losses need. */
    bool can_remove_voter(const consensus_core& core) const;

    /** Returns the slots whose identity is known. */
    std::vector<instance_slot> known_slots() const;

    /** Proposes the next change of the voters, if one is due and the core accepts proposals.
        Returns whether it proposed one. */
    bool propose_next_change(time_point now, consensus_core& core);

    /** Whether any one control instance can be lost, including its disk, without losing the
        majority. Precondition: the core is the leader. */
    bool is_safe_to_lose_one(time_point now, const consensus_core& core) const;

    /** Returns the current identity of a slot; zero if unknown. */
    instance_id identity_of(instance_slot slot) const;

private:
    std::size_t tolerated_losses(const consensus_core& core) const;
    std::size_t min_voters(const consensus_core& core) const;
    bool is_stopping(instance_id identity) const;
    std::uint64_t unreachable_rank(instance_id identity) const;
    void note_full_size(time_point now, const consensus_core& core);
    bool is_lost_voter(time_point now, const consensus_core& core, instance_id voter,
                       duration timeout);
    bool remove_lost_voter(time_point now, consensus_core& core);

    std::size_t expected_instances_;
    std::size_t stated_losses_; ///< Zero if the settings don't state how many are tolerated.
    std::size_t full_size_ = 0; ///< Largest number of voters that answered at the same time since
                                ///< this instance leads; zero if it doesn't lead.
    std::map<instance_id, time_point> lost_since_; ///< When each silent voter was first missed.
    std::map<instance_slot, instance_id> identities_;
    std::set<instance_slot> stopping_;
    /** Order in which the identities were cleared; kept while this instance doesn't lead, too. */
    std::map<instance_slot, std::uint64_t> unreachable_order_;
    std::uint64_t last_unreachable_ = 0;
};

} // namespace carawayshelf
