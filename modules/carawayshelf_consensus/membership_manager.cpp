#include "carawayshelf_consensus/membership_manager.hpp"

#include <algorithm>

namespace carawayshelf
{

namespace
{

constexpr unsigned slot_shift_bits = 32;

/** Records that an instance may lack and still count as caught up. */
constexpr log_index max_caught_up_lag = 100;

/** A voter that is silent for this long counts as lost. Longer than a restart takes, so that a
    restart changes no voters. */
constexpr duration lost_voter_timeout = std::chrono::seconds(6);

/** The same while the voters that answer bear fewer losses than are tolerated. */
constexpr duration surplus_voter_timeout = std::chrono::milliseconds(200);

std::vector<instance_id> without(std::vector<instance_id> voters, instance_id removed)
{
    voters.erase(std::remove(voters.begin(), voters.end(), removed), voters.end());
    return voters;
}

} // namespace

instance_slot slot_of(instance_id identity)
{
    return static_cast<instance_slot>(identity >> slot_shift_bits);
}

instance_id make_identity(instance_slot slot, std::uint64_t random)
{
    const std::uint64_t low_bits = (random | 1U) & ((std::uint64_t{1} << slot_shift_bits) - 1);
    return (static_cast<std::uint64_t>(slot) << slot_shift_bits) | low_bits;
}

instance_id first_identity(instance_slot slot)
{
    return make_identity(slot, 1);
}

membership_manager::membership_manager(std::size_t expected_instances, std::size_t tolerated_losses)
    : expected_instances_(expected_instances), stated_losses_(tolerated_losses)
{
}

void membership_manager::set_identity(instance_slot slot, instance_id identity)
{
    identities_[slot] = identity;
    unreachable_order_.erase(slot);
}

void membership_manager::set_stopping(instance_slot slot, bool is_stopping)
{
    if (is_stopping)
    {
        stopping_.insert(slot);
    }
    else
    {
        stopping_.erase(slot);
    }
}

bool membership_manager::is_stopping(instance_id identity) const
{
    return stopping_.count(slot_of(identity)) != 0;
}

/** Lowest for an instance that was never reached, highest for one that still seems reachable. */
std::uint64_t membership_manager::unreachable_rank(instance_id identity) const
{
    const instance_slot slot = slot_of(identity);
    const auto cleared = unreachable_order_.find(slot);
    if (cleared != unreachable_order_.end())
    {
        return cleared->second;
    }
    return identity_of(slot) != 0 ? last_unreachable_ + 1 : 0;
}

bool membership_manager::can_remove_voter(const consensus_core& core) const
{
    return expected_instances_ == 0 && core.log().voters().size() > min_voters(core);
}

void membership_manager::clear_identity(instance_slot slot)
{
    identities_.erase(slot);
    if (unreachable_order_.count(slot) == 0)
    {
        unreachable_order_[slot] = ++last_unreachable_;
    }
}

instance_id membership_manager::identity_of(instance_slot slot) const
{
    const auto known = identities_.find(slot);
    return known == identities_.end() ? 0 : known->second;
}

bool membership_manager::propose_next_change(time_point now, consensus_core& core)
{
    if (core.role() != consensus_role::leader)
    {
        lost_since_.clear();
        full_size_ = 0;
        return false;
    }
    note_full_size(now, core);
    const std::vector<instance_id> voters = core.log().voters();
    for (const instance_id voter : voters)
    {
        const instance_id replacement = identity_of(slot_of(voter));
        if (replacement != 0 && replacement != voter)
        {
            core.add_learner(replacement);
            return core.propose_voters(now, without(voters, voter));
        }
    }
    const auto stopping = std::find_if(voters.begin(), voters.end(),
                                       [this](instance_id voter) { return is_stopping(voter); });
    if (stopping != voters.end() && can_remove_voter(core))
    {
        return core.propose_voters(now, without(voters, *stopping));
    }
    for (const auto& [slot, identity] : identities_)
    {
        if (contains(voters, identity) || is_stopping(identity))
        {
            continue;
        }
        core.add_learner(identity);
        const log_index match = core.match_index_of(identity);
        // A removed voter still has its match index, although it may be gone.
        if (match != 0 && match + max_caught_up_lag >= core.commit_index() &&
            core.is_live(now, identity))
        {
            std::vector<instance_id> extended = voters;
            extended.push_back(identity);
            return core.propose_voters(now, extended);
        }
    }
    return remove_lost_voter(now, core);
}

std::vector<instance_slot> membership_manager::known_slots() const
{
    std::vector<instance_slot> all;
    for (const auto& [slot, identity] : identities_)
    {
        all.push_back(slot);
    }
    return all;
}

std::size_t membership_manager::tolerated_losses(const consensus_core& core) const
{
    constexpr std::size_t min_losses = 1;
    const std::size_t full_size = full_size_ == 0 ? core.log().voters().size() : full_size_;
    const std::size_t largest_minority = full_size == 0 ? 0 : (full_size - 1) / 2;
    return stated_losses_ != 0 ? stated_losses_ : std::max(min_losses, largest_minority);
}

/** Voters that must remain when silent or stopping ones are removed. */
std::size_t membership_manager::min_voters(const consensus_core& core) const
{
    return 2 * tolerated_losses(core) + 1;
}

void membership_manager::note_full_size(time_point now, const consensus_core& core)
{
    // A new leader doesn't know which voters answered before, and takes all of them.
    const std::size_t answering =
        full_size_ == 0 ? core.log().voters().size() : core.live_voters(now).size();
    full_size_ = std::max(full_size_, answering);
}

bool membership_manager::is_lost_voter(time_point now, const consensus_core& core,
                                       instance_id voter, duration timeout)
{
    const std::vector<instance_id> live = core.live_voters(now);
    if (contains(live, voter))
    {
        lost_since_.erase(voter);
        return false;
    }
    return now - lost_since_.emplace(voter, now).first->second >= timeout;
}

bool membership_manager::remove_lost_voter(time_point now, consensus_core& core)
{
    const std::vector<instance_id> voters = core.log().voters();
    const std::size_t majority = voters.size() / 2 + 1;
    const bool bears_losses = core.live_voters(now).size() >= majority + tolerated_losses(core);
    const duration timeout = bears_losses ? lost_voter_timeout : surplus_voter_timeout;
    instance_id lost = 0;
    for (const instance_id voter : voters)
    {
        const bool is_lost = is_lost_voter(now, core, voter, timeout);
        if (is_lost && (lost == 0 || unreachable_rank(voter) < unreachable_rank(lost)))
        {
            lost = voter;
        }
    }
    return lost != 0 && can_remove_voter(core) && core.propose_voters(now, without(voters, lost));
}

bool membership_manager::is_safe_to_lose_one(time_point now, const consensus_core& core) const
{
    const std::vector<instance_id>& voters = core.log().voters();
    std::size_t caught_up_count = 0;
    // Stricter than live_voters(), so that a voter that was lost a moment ago is not counted.
    for (const instance_id voter : core.answering_voters(now))
    {
        const bool has_current_identity = identity_of(slot_of(voter)) == voter;
        caught_up_count += has_current_identity &&
                           (voter == core.identity() ||
                            core.match_index_of(voter) + max_caught_up_lag >= core.commit_index());
    }
    const std::size_t majority = voters.size() / 2 + 1;
    return voters.size() >= expected_instances_ && caught_up_count >= majority + 1 &&
           core.log().voters_index() <= core.commit_index();
}

} // namespace carawayshelf
