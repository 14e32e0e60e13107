#include "carawayshelf_consensus/replicated_log.hpp"

#include <iterator>
#include <utility>

namespace carawayshelf
{

namespace
{

voter_list voters_of(const log_record& record)
{
    return {record.voters, record.counts_losses};
}

voter_list voters_of(const snapshot& base)
{
    return {base.voters, base.counts_losses};
}

} // namespace

replicated_log::replicated_log(snapshot base, std::vector<log_record> records)
    : base_(std::move(base)),
      records_(std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()))
{
    for (const log_record& record : records_)
    {
        payload_bytes_ += record.payload.size();
    }
    update_voters();
}

term_number replicated_log::last_term() const
{
    return records_.empty() ? base_.term : records_.back().term;
}

term_number replicated_log::term_at(log_index index) const
{
    if (index == base_.index)
    {
        return base_.term;
    }
    if (index < first_index() || index > last_index())
    {
        return 0;
    }
    return at(index).term;
}

const log_record& replicated_log::at(log_index index) const
{
    return records_[static_cast<std::size_t>(index - first_index())];
}

std::vector<log_record> replicated_log::copy_from(log_index from, std::size_t max_records,
                                                  std::size_t max_bytes) const
{
    std::vector<log_record> copied;
    std::size_t bytes = 0;
    for (log_index index = from; index <= last_index() && copied.size() < max_records; ++index)
    {
        bytes += at(index).payload.size();
        if (!copied.empty() && bytes > max_bytes)
        {
            break;
        }
        copied.push_back(at(index));
    }
    return copied;
}

void replicated_log::append(log_record record)
{
    if (record.kind == record_kind::membership)
    {
        voters_ = voters_of(record);
        voters_index_ = record.index;
    }
    payload_bytes_ += record.payload.size();
    records_.push_back(std::move(record));
}

voter_list replicated_log::previous_voters() const
{
    if (voters_index_ == base_.index)
    {
        return {};
    }
    for (log_index index = voters_index_ - 1; index >= first_index(); --index)
    {
        if (at(index).kind == record_kind::membership)
        {
            return voters_of(at(index));
        }
    }
    return voters_of(base_);
}

void replicated_log::drop_front()
{
    payload_bytes_ -= records_.front().payload.size();
    records_.pop_front();
}

void replicated_log::drop_back()
{
    payload_bytes_ -= records_.back().payload.size();
    records_.pop_back();
}

void replicated_log::truncate_after(log_index last_kept)
{
    while (last_index() > last_kept && !records_.empty())
    {
        drop_back();
    }
    update_voters();
}

void replicated_log::compact(const snapshot& taken)
{
    if (taken.index <= base_.index)
    {
        return;
    }
    while (!records_.empty() && records_.front().index <= taken.index)
    {
        drop_front();
    }
    base_ = taken;
    update_voters();
}

void replicated_log::reset(const snapshot& taken)
{
    records_.clear();
    payload_bytes_ = 0;
    base_ = taken;
    update_voters();
}

void replicated_log::update_voters()
{
    voters_ = voters_of(base_);
    voters_index_ = base_.index;
    for (const log_record& record : records_)
    {
        if (record.kind == record_kind::membership)
        {
            voters_ = voters_of(record);
            voters_index_ = record.index;
        }
    }
}

} // namespace carawayshelf
