#include "carawayshelf_steering/bucket_assigner.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace carawayshelf
{

namespace
{

/** Runs the assignment once over the rows of one service. */
class assignment_run
{
public:
    assignment_run(std::vector<bucket_row>& rows, const std::vector<assignment_member>& members,
                   generation now)
        : rows_(rows), members_(members), now_(now)
    {
        for (const assignment_member& member : members_)
        {
            by_id_[member.id] = &member;
        }
        compute_targets();
    }

    void run()
    {
        const std::vector<bucket_row> before = rows_;
        remove_departed_members();
        count_owned();
        move_from_ineligible_owners();
        move_excess_buckets();
        assign_second_choices();
        stamp_changed_rows(before);
    }

private:
    /** Distributes the buckets in proportion to the weights (largest remainder method). */
    void compute_targets()
    {
        std::uint64_t total = 0;
        for (const assignment_member& member : members_)
        {
            total += member.weight;
        }
        if (total == 0)
        {
            return;
        }
        std::size_t assigned = 0;
        std::vector<std::pair<std::uint64_t, member_id>> remainders;
        for (const assignment_member& member : members_)
        {
            const std::uint64_t scaled = rows_.size() * std::uint64_t{member.weight};
            targets_[member.id] = scaled / total;
            assigned += scaled / total;
            remainders.emplace_back(total - scaled % total, member.id);
        }
        std::sort(remainders.begin(), remainders.end());
        for (std::size_t i = 0; assigned < rows_.size(); ++i, ++assigned)
        {
            ++targets_[remainders[i % remainders.size()].second];
        }
    }

    bool is_live(member_id id) const
    {
        return by_id_.count(id) != 0;
    }

    bool is_eligible(member_id id) const
    {
        const auto found = by_id_.find(id);
        return found != by_id_.end() && found->second->weight > 0;
    }

    void remove_departed_members()
    {
        for (bucket_row& row : rows_)
        {
            row.earlier.remove_if([this](const earlier_owner& e) { return !is_live(e.member); });
            if (!is_live(row.owner))
            {
                row.owner = is_eligible(row.second_choice) ? row.second_choice : 0;
                remove_earlier(row, row.owner);
            }
        }
    }

    void count_owned()
    {
        for (const bucket_row& row : rows_)
        {
            if (row.owner != 0)
            {
                ++owned_[row.owner];
            }
        }
    }

    /** Moves every bucket that has no owner, or whose owner drains, to an eligible member. */
    void move_from_ineligible_owners()
    {
        for (bucket_row& row : rows_)
        {
            if (is_eligible(row.owner))
            {
                continue;
            }
            const member_id next =
                has_room(row.second_choice) ? row.second_choice : member_furthest_below_target();
            if (next != 0)
            {
                move(row, next);
            }
        }
    }

    /** Moves buckets from members above their target to members below it. Skips a row whose list
        of earlier owners is full. */
    void move_excess_buckets()
    {
        for (bucket_row& row : rows_)
        {
            if (row.owner == 0 || !is_eligible(row.owner) ||
                owned_[row.owner] <= targets_[row.owner] ||
                row.earlier.size() >= max_earlier_owners)
            {
                continue;
            }
            const member_id next =
                has_room(row.second_choice) ? row.second_choice : member_furthest_below_target();
            if (next != 0 && owned_[next] < targets_[next])
            {
                move(row, next);
            }
        }
    }

    bool has_room(member_id id)
    {
        return is_eligible(id) && owned_[id] < targets_[id];
    }

    /** Returns the eligible member whose bucket count is furthest below its target (or least above
        it), or zero if no member is eligible. */
    member_id member_furthest_below_target()
    {
        member_id best = 0;
        std::int64_t best_gap = 0;
        for (const assignment_member& member : members_)
        {
            const std::int64_t gap = static_cast<std::int64_t>(targets_[member.id]) -
                                     static_cast<std::int64_t>(owned_[member.id]);
            if (member.weight > 0 && (best == 0 || gap > best_gap))
            {
                best = member.id;
                best_gap = gap;
            }
        }
        return best;
    }

    void move(bucket_row& row, member_id next)
    {
        const member_id old = row.owner;
        remove_earlier(row, next);
        if (old != 0)
        {
            --owned_[old];
            row.earlier.push_front({old, now_});
        }
        row.owner = next;
        ++owned_[next];
    }

    static void remove_earlier(bucket_row& row, member_id member)
    {
        row.earlier.remove_if([member](const earlier_owner& e) { return e.member == member; });
    }

    /** Keeps valid second choices. Every other row that has an owner gets the eligible member that
        is the second choice of the fewest rows, from another failure domain than the owner's if
        possible. */
    void assign_second_choices()
    {
        std::map<member_id, std::size_t> used;
        for (bucket_row& row : rows_)
        {
            if (has_valid_second_choice(row))
            {
                ++used[row.second_choice];
            }
            else
            {
                row.second_choice = 0;
            }
        }
        for (bucket_row& row : rows_)
        {
            if (row.second_choice == 0 && row.owner != 0)
            {
                row.second_choice = least_used_second_choice(row, used);
                ++used[row.second_choice];
            }
        }
    }

    bool has_valid_second_choice(const bucket_row& row) const
    {
        if (row.owner == 0 || row.second_choice == row.owner || !is_eligible(row.second_choice))
        {
            return false;
        }
        return in_other_domain(row.second_choice, row.owner) || !other_domain_exists(row.owner);
    }

    bool in_other_domain(member_id a, member_id b) const
    {
        return by_id_.at(a)->domain != by_id_.at(b)->domain;
    }

    bool other_domain_exists(member_id owner) const
    {
        return std::any_of(members_.begin(), members_.end(),
                           [this, owner](const assignment_member& m)
                           { return m.weight > 0 && in_other_domain(m.id, owner); });
    }

    member_id least_used_second_choice(const bucket_row& row,
                                       std::map<member_id, std::size_t>& used) const
    {
        const bool need_other_domain = other_domain_exists(row.owner);
        member_id best = 0;
        for (const assignment_member& member : members_)
        {
            if (member.weight == 0 || member.id == row.owner ||
                (need_other_domain && !in_other_domain(member.id, row.owner)))
            {
                continue;
            }
            if (best == 0 || used[member.id] < used[best])
            {
                best = member.id;
            }
        }
        return best;
    }

    void stamp_changed_rows(const std::vector<bucket_row>& before)
    {
        for (std::size_t i = 0; i < rows_.size(); ++i)
        {
            if (!(rows_[i] == before[i]))
            {
                rows_[i].changed_at = now_;
            }
        }
    }

    std::vector<bucket_row>& rows_;
    const std::vector<assignment_member>& members_;
    generation now_;
    std::map<member_id, const assignment_member*> by_id_;
    std::map<member_id, std::size_t> targets_;
    std::map<member_id, std::size_t> owned_;
};

} // namespace

void assign_buckets(std::vector<bucket_row>& rows, const std::vector<assignment_member>& members,
                    generation now)
{
    assignment_run(rows, members, now).run();
}

bool release_bucket(bucket_row& row, member_id member, generation reported_at, generation now)
{
    const auto listed =
        std::find_if(row.earlier.begin(), row.earlier.end(),
                     [member](const earlier_owner& e) { return e.member == member; });
    if (listed == row.earlier.end() || reported_at < listed->retired_at)
    {
        return false;
    }
    row.earlier.remove_if([member](const earlier_owner& e) { return e.member == member; });
    row.changed_at = now;
    return true;
}

} // namespace carawayshelf
