#include "carawayshelf_admission/flow_table.hpp"

namespace carawayshelf
{

flow* flow_table::find(const flow_key& key)
{
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

flow& flow_table::add(const flow_key& key)
{
    ++count_by_bucket_[bucket_of(key)];
    return flows_[key];
}

void flow_table::remove(const flow_key& key)
{
    if (flows_.erase(key) > 0)
    {
        --count_by_bucket_[bucket_of(key)];
    }
}

void flow_table::remove_if(const std::function<bool(const flow_key&, const flow&)>& predicate,
                           const std::function<void(const flow_key&, flow&)>& before_removal)
{
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        if (!predicate(item->first, item->second))
        {
            ++item;
            continue;
        }
        before_removal(item->first, item->second);
        --count_by_bucket_[bucket_of(item->first)];
        item = flows_.erase(item);
    }
}

} // namespace carawayshelf
