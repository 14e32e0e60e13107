#pragma once

#include "carawayshelf_consensus/message.hpp"
#include "carawayshelf_core/error.hpp"

#include <vector>

namespace carawayshelf
{

/** Everything that a store held when it was opened. */
struct stored_state
{
    instance_id identity = 0;
    hard_state hard;
    snapshot base;
    std::vector<log_record> records;
};

/** Durable storage of one control instance. Not thread-safe. */
class log_store
{
public:
    virtual ~log_store() = default;

    /** Reads what is stored, after cutting off a torn end. A damaged record that was synced before
        is an error, never a guess. */
    virtual failure load(stored_state& loaded) = 0;

    /** Writes term and vote. Lasts once sync() has returned without error. */
    virtual failure save_hard_state(const hard_state& hard) = 0;

    /** Writes records; those at and after the first one's index are replaced. Lasts once sync()
        has returned without error. */
    virtual failure append(const std::vector<log_record>& records) = 0;

    /** Makes everything written so far last. */
    virtual failure sync() = 0;

    /** Writes a snapshot aside, syncs it, puts it in place of the old one, and drops the records
        up to its index, or all of them if keep_later is false. Lasts on return without error. */
    virtual failure save_snapshot(const snapshot& taken, bool keep_later) = 0;
};

} // namespace carawayshelf
