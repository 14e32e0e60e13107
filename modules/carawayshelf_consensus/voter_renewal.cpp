#include "carawayshelf_consensus/voter_renewal.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr unsigned slot_shift = 32;
constexpr log_index caught_up_within = 100;

/** A voter that is not heard for this long may give way to another: longer than a restart, so that
    a short absence changes nothing. */
constexpr duration lost_for = std::chrono::seconds(6);

/** Voters that remain when a lost one is removed; three bear the loss of one. */
constexpr std::size_t fewest_voters = 3;

bool contains(const std::vector<instance_id>& voters, instance_id identity)
{
    return std::find(voters.begin(), voters.end(), identity) != voters.end();
}

std::vector<instance_id> without(std::vector<instance_id> voters, instance_id removed)
{
    voters.erase(std::remove(voters.begin(), voters.end(), removed), voters.end());
    return voters;
}

} // namespace

instance_slot slot_of(instance_id identity)
{
    return static_cast<instance_slot>(identity >> slot_shift);
}

instance_id make_identity(instance_slot slot, std::uint64_t random)
{
    const std::uint64_t low = (random | 1U) & ((std::uint64_t{1} << slot_shift) - 1);
    return (static_cast<std::uint64_t>(slot) << slot_shift) | low;
}

instance_id first_identity(instance_slot slot)
{
    return make_identity(slot, 1);
}

voter_renewal::voter_renewal(std::size_t slots) : slots_(slots)
{
}

void voter_renewal::hear(instance_slot slot, instance_id identity)
{
    identities_[slot] = identity;
}

void voter_renewal::forget(instance_slot slot)
{
    identities_.erase(slot);
}

instance_id voter_renewal::identity_of(instance_slot slot) const
{
    const auto known = identities_.find(slot);
    return known == identities_.end() ? 0 : known->second;
}

bool voter_renewal::renew(time_point now, consensus_core& core)
{
    if (core.role() != consensus_role::leader)
    {
        return false;
    }
    const std::vector<instance_id> voters = core.log().voters();
    for (const instance_id voter : voters)
    {
        const instance_id successor = identity_of(slot_of(voter));
        if (successor != 0 && successor != voter)
        {
            core.add_learner(successor);
            return core.propose_voters(now, without(voters, voter));
        }
    }
    for (const auto& [slot, identity] : identities_)
    {
        if (contains(voters, identity))
        {
            continue;
        }
        core.add_learner(identity);
        const log_index match = core.match_of(identity);
        if (match != 0 && match + caught_up_within >= core.commit_index())
        {
            std::vector<instance_id> more = voters;
            more.push_back(identity);
            return core.propose_voters(now, more);
        }
    }
    return slots_ == 0 && remove_lost(now, core);
}

std::vector<instance_slot> voter_renewal::slots() const
{
    std::vector<instance_slot> all;
    for (const auto& [slot, identity] : identities_)
    {
        all.push_back(slot);
    }
    return all;
}

bool voter_renewal::is_long_lost(time_point now, const consensus_core& core, instance_id voter)
{
    const std::vector<instance_id> live = core.live_voters(now);
    if (contains(live, voter))
    {
        lost_since_.erase(voter);
        return false;
    }
    return now - lost_since_.emplace(voter, now).first->second >= lost_for;
}

bool voter_renewal::remove_lost(time_point now, consensus_core& core)
{
    const std::vector<instance_id> voters = core.log().voters();
    instance_id lost = 0;
    std::size_t lost_count = 0;
    for (const instance_id voter : voters)
    {
        if (is_long_lost(now, core, voter))
        {
            lost = voter;
            ++lost_count;
        }
    }
    if (lost == 0 || voters.size() - lost_count < fewest_voters)
    {
        return false;
    }
    return core.propose_voters(now, without(voters, lost));
}

bool voter_renewal::is_safe_to_lose_one(time_point now, const consensus_core& core) const
{
    const std::vector<instance_id>& voters = core.log().voters();
    std::size_t caught_up = 0;
    // One that was lost a moment ago must not count.
    for (const instance_id voter : core.answering_voters(now))
    {
        const bool is_current = identity_of(slot_of(voter)) == voter;
        caught_up += is_current && (voter == core.identity() ||
                                    core.match_of(voter) + caught_up_within >= core.commit_index());
    }
    const std::size_t majority = voters.size() / 2 + 1;
    return voters.size() >= slots_ && caught_up >= majority + 1 &&
           core.log().voters_index() <= core.commit_index();
}

} // namespace carawayshelf
