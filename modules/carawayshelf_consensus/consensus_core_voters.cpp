/** @file
    Which voters decide, what a quorum of them is, and changes of the voters.
*/
#include "carawayshelf_consensus/consensus_core.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawayshelf
{

namespace
{

/** Lost identities that an instance remembers; those that are not voters are forgotten first. */
constexpr std::size_t max_known_losses = 64;

} // namespace

bool consensus_core::is_voter() const
{
    return contains(log_.voters(), identity_);
}

/** The lists of voters that must each agree: the old voters as well while their change may be
    uncommitted. */
std::vector<voter_list> consensus_core::voter_lists() const
{
    std::vector<voter_list> lists = {log_.newest_voters()};
    if (log_.voters_index() > commit_index_)
    {
        voter_list previous = log_.previous_voters();
        if (!previous.voters.empty() && previous.voters != log_.voters())
        {
            lists.push_back(std::move(previous));
        }
    }
    return lists;
}

std::vector<instance_id> consensus_core::deciding_voters() const
{
    std::vector<instance_id> all;
    for (const voter_list& list : voter_lists())
    {
        for (const instance_id voter : list.voters)
        {
            if (!contains(all, voter))
            {
                all.push_back(voter);
            }
        }
    }
    return all;
}

bool consensus_core::is_quorum(const agreement& agreeing) const
{
    const std::vector<voter_list> lists = voter_lists();
    return std::all_of(lists.begin(), lists.end(),
                       [&agreeing](const voter_list& list)
                       { return is_quorum_of(list, agreeing); });
}

/** This instance and the followers for which the predicate is true. */
agreement
consensus_core::collect_agreement(const std::function<bool(const follower_progress&)>& agrees) const
{
    agreement agreeing;
    agreeing[identity_] = known_losses_;
    for (const auto& [id, progress] : followers_)
    {
        if (agrees(progress))
        {
            agreeing[id] = progress.known_losses;
        }
    }
    return agreeing;
}

agreement consensus_core::live_agreement(time_point now) const
{
    return collect_agreement([this, now](const follower_progress& progress)
                             { return now - progress.heard_at < settings_.election_timeout; });
}

void consensus_core::note_loss(instance_id lost)
{
    if (lost == identity_)
    {
        return;
    }
    if (known_losses_.size() >= max_known_losses)
    {
        const std::vector<instance_id> voters = deciding_voters();
        for (auto known = known_losses_.begin(); known != known_losses_.end();)
        {
            known = contains(voters, *known) ? std::next(known) : known_losses_.erase(known);
        }
    }
    if (known_losses_.size() < max_known_losses)
    {
        known_losses_.insert(lost);
    }
}

bool consensus_core::propose_voters(time_point now, const std::vector<instance_id>& voters)
{
    if (role_ != consensus_role::leader || log_.voters_index() > commit_index_ ||
        commit_index_ < term_start_index_)
    {
        return false;
    }
    std::set<instance_id> changed(voters.begin(), voters.end());
    for (const instance_id voter : log_.voters())
    {
        if (changed.erase(voter) == 0)
        {
            changed.insert(voter);
        }
    }
    if (changed.size() != 1 || voters.empty())
    {
        return false;
    }
    log_record record;
    record.kind = record_kind::membership;
    record.voters = voters;
    record.counts_losses = all_count_losses(voters);
    append_as_leader(std::move(record));
    for (const instance_id voter : voters)
    {
        if (voter != identity_ && followers_.count(voter) == 0)
        {
            followers_[voter].heard_at = now;
        }
    }
    broadcast_append(now);
    return true;
}

/** Whether each voter has shown that its build counts losses, to this leader or to one that has
    recorded it. */
bool consensus_core::all_count_losses(const std::vector<instance_id>& voters) const
{
    const voter_list& newest = log_.newest_voters();
    return std::all_of(voters.begin(), voters.end(),
                       [this, &newest](instance_id voter)
                       {
                           const auto found = followers_.find(voter);
                           return voter == identity_ ||
                                  (newest.counts_losses && contains(newest.voters, voter)) ||
                                  (found != followers_.end() && found->second.counts_losses);
                       });
}

/** Repeats the voters in a record once their change is committed, so that each instance that has
    the record knows that it is, and once all of them count losses. */
void consensus_core::repeat_voters(time_point now)
{
    if (log_.voters_index() > commit_index_ || commit_index_ < term_start_index_)
    {
        return;
    }
    const voter_list& newest = log_.newest_voters();
    const voter_list previous = log_.previous_voters();
    const bool is_known_committed = previous.voters.empty() || previous.voters == newest.voters;
    const bool counts_losses = all_count_losses(newest.voters);
    if (is_known_committed && newest.counts_losses == counts_losses)
    {
        return;
    }
    log_record record;
    record.kind = record_kind::membership;
    record.voters = newest.voters;
    record.counts_losses = counts_losses;
    append_as_leader(std::move(record));
    broadcast_append(now);
}

} // namespace carawayshelf
