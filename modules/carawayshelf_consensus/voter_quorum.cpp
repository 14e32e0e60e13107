#include "carawayshelf_consensus/voter_quorum.hpp"

#include <algorithm>
#include <iterator>

namespace carawayshelf
{

namespace
{

std::vector<instance_id> agreeing_voters(const voter_list& list, const agreement& agreeing)
{
    std::vector<instance_id> agreed;
    std::copy_if(list.voters.begin(), list.voters.end(), std::back_inserter(agreed),
                 [&agreeing](instance_id voter) { return agreeing.count(voter) != 0; });
    return agreed;
}

} // namespace

bool contains(const std::vector<instance_id>& instances, instance_id searched)
{
    return std::find(instances.begin(), instances.end(), searched) != instances.end();
}

bool is_quorum_of(const voter_list& list, const agreement& agreeing)
{
    const std::vector<instance_id> agreed = agreeing_voters(list, agreeing);
    if (agreed.size() * 2 != list.voters.size() || agreed.empty())
    {
        return agreed.size() * 2 > list.voters.size();
    }
    const auto all_knew_of = [&agreed, &agreeing](instance_id lost)
    {
        return std::all_of(agreed.begin(), agreed.end(),
                           [&agreeing, lost](instance_id voter)
                           { return agreeing.at(voter).count(lost) != 0; });
    };
    return list.counts_losses && std::any_of(list.voters.begin(), list.voters.end(), all_knew_of);
}

} // namespace carawayshelf
