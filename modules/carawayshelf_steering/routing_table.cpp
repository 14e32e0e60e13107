#include "carawayshelf_steering/routing_table.hpp"

#include <algorithm>
#include <limits>

namespace carawayshelf
{

namespace
{

constexpr std::size_t max_index = std::numeric_limits<std::uint16_t>::max();

} // namespace

routing_table::builder::builder(generation held) : held_(held)
{
    members_.push_back(member_address{});
}

void routing_table::builder::add_member(const member_address& member)
{
    if (members_.size() <= max_index)
    {
        index_of_[member.member] = static_cast<std::uint16_t>(members_.size());
        members_.push_back(member);
    }
}

void routing_table::builder::add_service(service_id id, const endpoint& address,
                                         const std::vector<bucket_row>& rows)
{
    services_.emplace_back(id, address);
    rows_.push_back(rows);
}

routing_table::routing_table()
{
    members_.push_back(member_address{});
    earlier_lists_.push_back(earlier_list{});
}

routing_table routing_table::builder::build()
{
    routing_table table;
    table.held_ = held_;
    table.services_ = services_;
    table.members_ = members_;
    // Row generations are stored as 32-bit offsets. Rows older than the span get its first
    // generation, which only makes agents compare with a newer row of their own.
    constexpr generation span = std::numeric_limits<std::uint32_t>::max();
    table.base_generation_ = held_ > span ? held_ - span : 0;
    table.rows_.reserve(rows_.size() * buckets_per_service);
    std::map<earlier_list, std::uint16_t> known_lists;
    for (std::size_t s = 0; s < rows_.size(); ++s)
    {
        table.index_of_[services_[s].first] = static_cast<std::uint32_t>(s);
        for (const bucket_row& row : rows_[s])
        {
            compact_row packed{};
            packed.generation_offset = static_cast<std::uint32_t>(
                row.changed_at > table.base_generation_ ? row.changed_at - table.base_generation_
                                                        : 0);
            const auto owner = index_of_.find(row.owner);
            packed.owner = owner == index_of_.end() ? std::uint16_t{0} : owner->second;
            packed.earlier = table.add_earlier_list(*this, row, known_lists);
            if (packed.earlier == 0 && !row.earlier.empty())
            {
                // Without its earlier owners the row must not replace an agent's own row, so it
                // gets the oldest generation.
                packed.generation_offset = 0;
            }
            table.rows_.push_back(packed);
        }
    }
    return table;
}

std::uint16_t routing_table::add_earlier_list(const builder& source, const bucket_row& row,
                                              std::map<earlier_list, std::uint16_t>& known_lists)
{
    earlier_list list{};
    std::size_t count = 0;
    for (const earlier_owner& candidate : row.earlier)
    {
        const auto index = source.index_of_.find(candidate.member);
        if (index != source.index_of_.end() && count < max_earlier_owners)
        {
            list[count++] = index->second;
        }
    }
    const auto existing = known_lists.find(list);
    if (existing != known_lists.end())
    {
        return existing->second;
    }
    if (count == 0 || earlier_lists_.size() > max_index)
    {
        return 0;
    }
    earlier_lists_.push_back(list);
    const std::uint16_t added = static_cast<std::uint16_t>(earlier_lists_.size() - 1);
    known_lists[list] = added;
    return added;
}

bool routing_table::find(const flow_key& key, route& found) const
{
    const auto service = index_of_.find(key.service);
    if (service == index_of_.end())
    {
        return false;
    }
    const compact_row& row = rows_[service->second * buckets_per_service + bucket_of(key)];
    const earlier_list& list = earlier_lists_[row.earlier];
    found.row_generation = base_generation_ + row.generation_offset;
    found.owner = members_[row.owner];
    found.earlier_count = 0;
    for (const std::uint16_t index : list)
    {
        if (index == 0)
        {
            break;
        }
        found.earlier[found.earlier_count++] = members_[index];
    }
    return true;
}

std::size_t routing_table::memory_bytes() const
{
    return rows_.size() * sizeof(compact_row) + earlier_lists_.size() * sizeof(earlier_list) +
           members_.size() * sizeof(member_address) +
           services_.size() * (sizeof(services_[0]) + 4 * sizeof(void*));
}

} // namespace carawayshelf
