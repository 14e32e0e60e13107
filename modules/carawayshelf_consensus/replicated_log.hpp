#pragma once

#include "carawayshelf_consensus/message.hpp"
#include "carawayshelf_consensus/voter_quorum.hpp"

#include <deque>
#include <vector>

namespace carawayshelf
{

/** In-memory log of one instance: its newest snapshot and the records after it. Not thread-safe. */
class replicated_log
{
public:
    /** Precondition: the record indexes are consecutive, and the first one follows the snapshot's.
     */
    replicated_log(snapshot base, std::vector<log_record> records);

    log_index first_index() const
    {
        return base_.index + 1;
    }

    log_index last_index() const
    {
        return base_.index + records_.size();
    }

    term_number last_term() const;

    /** Returns the term of a record or of the snapshot's last record; zero for any other index. */
    term_number term_at(log_index index) const;

    /** Precondition: first_index() <= index <= last_index(). */
    const log_record& at(log_index index) const;

    /** Copies records from an index on, up to a number of records and of payload bytes. Copies at
        least one record if there is one. Precondition: from >= first_index(). */
    std::vector<log_record> copy_from(log_index from, std::size_t max_records,
                                      std::size_t max_bytes) const;

    /** Precondition: the record's index is last_index() + 1. */
    void append(log_record record);

    /** Discards all records after an index. */
    void truncate_after(log_index last_kept);

    /** Makes a snapshot the new base and discards the records that it includes. Has no effect if it
        is not newer than the base. */
    void compact(const snapshot& taken);

    /** Replaces the whole log by a snapshot from the leader. */
    void reset(const snapshot& taken);

    /** Returns the newest snapshot. */
    const snapshot& base() const
    {
        return base_;
    }

    /** Returns the voters of the newest membership record, or else of the snapshot. */
    const std::vector<instance_id>& voters() const
    {
        return voters_.voters;
    }

    /** Returns the same, and whether they count losses. */
    const voter_list& newest_voters() const
    {
        return voters_;
    }

    /** Returns the voters before the newest membership record; none if that is the snapshot's. */
    voter_list previous_voters() const;

    /** Returns the payload bytes of all records. */
    std::size_t payload_bytes() const
    {
        return payload_bytes_;
    }

    /** Returns the index of the newest membership record, or else of the snapshot. */
    log_index voters_index() const
    {
        return voters_index_;
    }

private:
    void drop_front();
    void drop_back();
    void update_voters();

    snapshot base_;
    std::deque<log_record> records_;
    voter_list voters_;
    log_index voters_index_ = 0;
    std::size_t payload_bytes_ = 0;
};

} // namespace carawayshelf
