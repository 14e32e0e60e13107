#pragma once

#include "carawayshelf_consensus/message.hpp"
#include "carawayshelf_core/error.hpp"

#include <vector>

namespace carawayshelf
{

/** Contents of a log store when it is opened. */
struct stored_state
{
    instance_id identity = 0;
    hard_state hard;
    snapshot base;                   ///< Newest snapshot; index zero if there is none.
    std::vector<log_record> records; ///< Records after the snapshot, by index without gaps.
};

/** Durable storage of one control instance. Not thread-safe. */
class log_store
{
public:
    virtual ~log_store() = default;

    /** Loads the stored state, and truncates an incomplete write at the end of the log. Fails if a
        record that was synced is damaged. */
    virtual failure load(stored_state& loaded) = 0;

    /** Writes term and vote. Durable once sync() has returned without error. */
    virtual failure save_hard_state(const hard_state& hard) = 0;

    /** Writes records, and replaces stored ones from the index of the first one on. Durable once
        sync() has returned without error. */
    virtual failure append(const std::vector<log_record>& records) = 0;

    /** Makes everything written so far durable. */
    virtual failure sync() = 0;

    /** Writes a snapshot to a temporary place, syncs it, replaces the old one with it, and removes
        the records up to its index, or all records if keep_later is false. Durable on return
        without error. */
    virtual failure save_snapshot(const snapshot& taken, bool keep_later) = 0;
};

} // namespace carawayshelf
