#include "carawayshelf_consensus/order_fence.hpp"

#include <algorithm>

namespace carawayshelf
{

bool order_fence::admits(term_number term, const std::string& subject,
                         const log_position& known) const
{
    if (known.term != term)
    {
        return false;
    }
    if (term_ != term)
    {
        return true; // Nothing was proposed in this term yet.
    }
    const auto found = last_.find(subject);
    return known.index >= (found == last_.end() ? floor_ : found->second);
}

void order_fence::note(const log_position& proposed, const std::string& subject)
{
    if (term_ != proposed.term)
    {
        term_ = proposed.term;
        floor_ = 0;
        last_.clear();
    }
    if (last_.size() >= max_subjects && last_.count(subject) == 0)
    {
        for (const auto& [name, index] : last_)
        {
            floor_ = std::max(floor_, index);
        }
        last_.clear();
    }
    last_[subject] = proposed.index;
}

} // namespace carawayshelf
