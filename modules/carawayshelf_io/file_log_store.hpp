#pragma once

#include "carawayshelf_consensus/log_store.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "carawayshelf_io/unique_fd.hpp"

#include <cstdint>
#include <string>

namespace carawayshelf
{

/** The data folder of a control instance.

    Files: "identity" (generated when the folder is created), "snapshot", "log" (checksummed blocks:
    hard states and log records in the order in which they were written) and "synced" (length of the
    log at the last sync, in bytes, which distinguishes damage to synced records from an incomplete
    last write). The log is rewritten when a snapshot is saved. Not thread-safe.
*/
class file_log_store : public log_store
{
public:
    /** @param folder  created by load() or create() if missing; its parent must exist
        @param slot    slot of this instance; becomes part of a new identity */
    file_log_store(std::string folder, instance_slot slot);

    failure load(stored_state& loaded) override;

    /** Whether the folder contains no identity, because it is new or its contents were lost. */
    bool is_new() const;

    /** Initializes a new folder with a snapshot as the start of the log, and with the first
        identity of the slot. Precondition: is_new(). Errors: storage_failed. */
    failure create(const snapshot& base);
    failure save_hard_state(const hard_state& hard) override;
    failure append(const std::vector<log_record>& records) override;
    failure sync() override;
    failure save_snapshot(const snapshot& taken, bool keep_later) override;

private:
    failure load_identity(stored_state& loaded);
    failure load_snapshot(stored_state& loaded);
    failure load_log(stored_state& loaded);
    failure load_record(std::string_view body, stored_state& loaded);
    failure open_log(std::uint64_t length);
    failure write_block(char kind, std::string_view body);
    failure rewrite_log(const std::vector<log_record>& records);
    failure replace_file(const std::string& name, const std::string& content);
    std::string path(const std::string& name) const;

    std::string folder_;
    instance_slot slot_;
    unique_fd log_file_;
    unique_fd synced_file_;
    std::uint64_t log_length_ = 0;
    hard_state hard_state_;
    std::vector<log_record> records_; ///< Those in the log file, for rewriting it.
};

} // namespace carawayshelf
