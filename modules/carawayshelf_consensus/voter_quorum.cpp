#include "carawayshelf_consensus/voter_quorum.hpp"

#include <algorithm>

namespace carawayshelf
{

bool is_quorum_of(const voter_list& list, const agreement& agreeing)
{
    const auto agrees = [&agreeing](instance_id voter)
    {
        return agreeing.count(voter) != 0;
    };
    const std::size_t size = list.voters.size();
    const std::size_t count =
        static_cast<std::size_t>(std::count_if(list.voters.begin(), list.voters.end(), agrees));
    if (count > size / 2)
    {
        return true;
    }
    if (!list.counts_losses || size == 0 || count * 2 < size)
    {
        return false;
    }
    return std::any_of(list.voters.begin(), list.voters.end(),
                       [&](instance_id lost)
                       {
                           return std::all_of(list.voters.begin(), list.voters.end(),
                                              [&](instance_id voter) {
                                                  return !agrees(voter) ||
                                                         agreeing.at(voter).count(lost) != 0;
                                              });
                       });
}

} // namespace carawayshelf
