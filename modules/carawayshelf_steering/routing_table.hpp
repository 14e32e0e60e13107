#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_steering/bucket_row.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawayshelf
{

/** A member and where it receives envelopes. */
struct member_address
{
    member_id member = 0;
    endpoint data;
    /** Generation that last put its failure domain in service; flows that it adopted before are
        void. */
    generation tenure_from = 0;
};

/** Everything a balancer must know to relay, in a few bytes a bucket. Immutable once built, so
    traffic threads read it without locks.

    Memory: eight bytes a bucket, and eight for each different list of earlier owners, so 2,300
    services take about 5 MB.
*/
class routing_table
{
public:
    /** What a balancer writes into an envelope for one flow. */
    struct route
    {
        generation row_generation = 0;
        member_address owner; ///< The member is zero when the bucket has no owner.
        std::array<member_address, max_earlier_owners> earlier{};
        std::size_t earlier_count = 0;
    };

    /** Adds members and services, then gives the table out as immutable. Not thread-safe. */
    class builder
    {
    public:
        explicit builder(generation held);

        /** Precondition: called for every member that the rows name, before the rows. */
        void add_member(const member_address& member);

        /** Precondition: buckets_per_service rows. Owners that were not added count as none. */
        void add_service(service_id id, const endpoint& address,
                         const std::vector<bucket_row>& rows);

        routing_table build();

    private:
        friend class routing_table;
        generation held_;
        std::unordered_map<member_id, std::uint16_t> index_of_;
        std::vector<member_address> members_;
        std::vector<std::pair<service_id, endpoint>> services_;
        std::vector<std::vector<bucket_row>> rows_;
    };

    routing_table();

    /** Finds the route of a flow. Returns false when the service is unknown. Thread-safe; takes no
        memory. */
    bool find(const flow_key& key, route& found) const;

    /** Generation that this table holds. Thread-safe. */
    generation held() const
    {
        return held_;
    }

    /** Services and their addresses. Thread-safe. */
    const std::vector<std::pair<service_id, endpoint>>& services() const
    {
        return services_;
    }

    /** Bytes that the table takes. Thread-safe. */
    std::size_t memory_bytes() const;

private:
    struct compact_row
    {
        std::uint32_t generation_offset;
        std::uint16_t owner;
        std::uint16_t earlier;
    };

    /** Indexes of members, zero after the last. Equal lists of a table are kept once. */
    using earlier_list = std::array<std::uint16_t, max_earlier_owners>;

    static_assert(sizeof(compact_row) == 8, "the size of the table rests on this");

    std::uint16_t add_earlier_list(const builder& source, const bucket_row& row,
                                   std::map<earlier_list, std::uint16_t>& known_lists);

    generation held_ = 0;
    generation base_generation_ = 0;
    std::vector<std::pair<service_id, endpoint>> services_;
    std::unordered_map<service_id, std::uint32_t> index_of_;
    std::vector<member_address> members_;
    std::vector<compact_row> rows_;
    std::vector<earlier_list> earlier_lists_;
};

} // namespace carawayshelf
