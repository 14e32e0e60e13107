#pragma once

#include "carawayshelf_consensus/log_store.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace carawayshelf::fakes
{

/** In-memory log store that can lose writes that were not synced, as a disk does. */
class memory_log_store : public log_store
{
public:
    explicit memory_log_store(instance_id identity);

    failure load(stored_state& loaded) override;
    failure save_hard_state(const hard_state& hard) override;
    failure append(const std::vector<log_record>& records) override;
    failure sync() override;
    failure save_snapshot(const snapshot& taken, bool keep_later) override;

    /** Simulates a power failure: of the unsynced writes, a random number of the oldest remain. */
    void lose_power(std::uint64_t random);

    /** Injects a fault: sync() does nothing. */
    void skip_syncs(bool skip)
    {
        skips_syncs_ = skip;
    }

    /** Injects a fault: save_hard_state() does nothing. */
    void skip_hard_states(bool skip)
    {
        skips_hard_states_ = skip;
    }

private:
    stored_state durable_;
    std::vector<std::function<void(stored_state&)>> unsynced_writes_;
    bool skips_syncs_ = false;
    bool skips_hard_states_ = false;
};

} // namespace carawayshelf::fakes
