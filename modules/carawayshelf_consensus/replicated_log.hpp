#pragma once

#include "carawayshelf_consensus/message.hpp"

#include <deque>
#include <vector>

namespace carawayshelf
{

/** The records of one instance after its newest snapshot, in memory. Not thread-safe. */
class replicated_log
{
public:
    /** Takes in what the store held. Precondition: the records follow each other, and the first
        follows the snapshot. */
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

    /** Term of a record, zero when it isn't held. The snapshot's own index counts as held. */
    term_number term_at(log_index index) const;

    /** Precondition: first_index() <= index <= last_index(). */
    const log_record& at(log_index index) const;

    /** Copies up to a number of records and payload bytes, from an index on. */
    std::vector<log_record> copy_from(log_index from, std::size_t max_records,
                                      std::size_t max_bytes) const;

    void append(log_record record);

    /** Drops all records after an index. */
    void truncate_after(log_index last_kept);

    /** Makes a snapshot the new base and drops the records it stands for. */
    void compact(const snapshot& taken);

    /** Forgets everything but a snapshot from the leader. */
    void reset(const snapshot& taken);

    const snapshot& base() const
    {
        return base_;
    }

    /** The voting instances by the newest membership record held. */
    const std::vector<instance_id>& voters() const
    {
        return voters_;
    }

    /** Payload bytes of the records held. */
    std::size_t payload_bytes() const
    {
        return payload_bytes_;
    }

    /** Index of the newest membership record. */
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
    std::vector<instance_id> voters_;
    log_index voters_index_ = 0;
    std::size_t payload_bytes_ = 0;
};

} // namespace carawayshelf
