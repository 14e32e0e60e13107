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

/** A member and the address where it receives envelopes. */
struct member_address
{
    member_id member = 0;
    endpoint data;
    /** Generation that last put its failure domain in service. Flows that it adopted at an earlier
        generation are no longer valid. */
    generation tenure_from = 0;
};

/** Everything that a balancer needs to relay datagrams, in compact form. Immutable once built, so
    traffic threads read it without locks.

    Memory: 8 bytes per bucket and 8 bytes per distinct list of earlier owners; 2,300 services take
    about 5 MB.
*/
class routing_table
{
public:
    /** The routing information that a balancer writes into the envelope of a flow. */
    struct route
    {
        generation row_generation = 0;
        member_address owner; ///< Its member is zero if the bucket has no owner.
        std::array<member_address, max_earlier_owners> earlier{};
        std::size_t earlier_count = 0;
    };

    /** Collects members and services and builds the immutable table. Not thread-safe. */
    class builder
    {
    public:
        /** @param held  generation of the table to build */
        explicit builder(generation held);

        /** Adds a member; members beyond 65,535 are ignored.

            Precondition: called for every member that the rows name, before the rows. */
        void add_member(const member_address& member);

        /** Adds a service and its rows. An owner that was not added as a member counts as none.

            Precondition: there are buckets_per_service rows. */
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

    /** Finds the route of a flow. Returns false, and leaves found unchanged, if the service is
        unknown. Thread-safe; does not allocate memory. */
    bool find(const flow_key& key, route& found) const;

    /** Generation of this table. Thread-safe. */
    generation held() const
    {
        return held_;
    }

    /** Services and their addresses. Thread-safe. */
    const std::vector<std::pair<service_id, endpoint>>& services() const
    {
        return services_;
    }

    /** Memory of the table in bytes; the memory of the service index is estimated. Thread-safe. */
    std::size_t memory_bytes() const;

private:
    struct compact_row
    {
        std::uint32_t generation_offset; ///< From base_generation_.
        std::uint16_t owner;             ///< Index into members_; 0 for none.
        std::uint16_t earlier;           ///< Index into earlier_lists_; 0 for none.
    };

    /** Indexes into members_, then zeros. Equal lists are stored once. */
    using earlier_list = std::array<std::uint16_t, max_earlier_owners>;

    static_assert(sizeof(compact_row) == 8, "the documented memory use relies on this size");

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
