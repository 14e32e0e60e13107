#include "memory_log_store.hpp"

#include <algorithm>

namespace carawayshelf::fakes
{

memory_log_store::memory_log_store(instance_id identity)
{
    durable_.identity = identity;
}

failure memory_log_store::load(stored_state& loaded)
{
    loaded = durable_;
    return {};
}

failure memory_log_store::save_hard_state(const hard_state& hard)
{
    if (!skips_hard_states_)
    {
        unsynced_writes_.emplace_back([hard](stored_state& state) { state.hard = hard; });
    }
    return {};
}

failure memory_log_store::append(const std::vector<log_record>& records)
{
    for (const log_record& record : records)
    {
        unsynced_writes_.emplace_back(
            [record](stored_state& state)
            {
                while (!state.records.empty() && state.records.back().index >= record.index)
                {
                    state.records.pop_back();
                }
                state.records.push_back(record);
            });
    }
    return {};
}

failure memory_log_store::sync()
{
    if (skips_syncs_)
    {
        return {};
    }
    for (const std::function<void(stored_state&)>& write : unsynced_writes_)
    {
        write(durable_);
    }
    unsynced_writes_.clear();
    return {};
}

failure memory_log_store::save_snapshot(const snapshot& taken, bool keep_later)
{
    sync();
    durable_.base = taken;
    std::vector<log_record> kept;
    for (const log_record& record : durable_.records)
    {
        if (keep_later && record.index > taken.index)
        {
            kept.push_back(record);
        }
    }
    durable_.records = kept;
    return {};
}

void memory_log_store::lose_power(std::uint64_t random)
{
    const std::size_t applied_count =
        unsynced_writes_.empty() ? 0 : random % (unsynced_writes_.size() + 1);
    for (std::size_t i = 0; i < applied_count; ++i)
    {
        unsynced_writes_[i](durable_);
    }
    unsynced_writes_.clear();
}

} // namespace carawayshelf::fakes
