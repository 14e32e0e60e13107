#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** Inquiries of an agent to all members of a route's services at once. They search for a flow
    after the likely members have returned a packet of it. They also prepare the refusal of a flow
    that no member could admit: another copy of its opening packet may have opened it, or may do so
    later.
    Each member answers whether it holds the flow. No member holds it if all answer that they don't,
    and neither they nor the processes that handled the packet before had a newer table than the one
    used to choose the members. This takes one round trip, however many members there are.
    A member that doesn't answer leaves the inquiry without an outcome, however long control has not
    heard of its agent: the agent may be frozen, restarting or cut off while its server runs.
    Not thread-safe; no I/O. */
class flow_inquiries
{
public:
    /** An inquiry without an outcome ends after this, and its packet is dropped. The client has
        retransmitted the packet by then. */
    static constexpr duration timeout = std::chrono::seconds(1);

    /** Maximum number of concurrent inquiries. */
    static constexpr std::size_t max_inquiries = 512;

    /** An inquiry about one flow. */
    struct inquiry
    {
        packet_envelope envelope;
        std::string packet;
        bool is_refusal = false; ///< The packet is an opening packet that shall be refused.
        time_point started_at;
        generation member_table_generation =
            0;                              ///< Generation of the table used to choose the members.
        generation required_generation = 0; ///< Newest generation of the tables of the
                                            ///< processes that handled the packet or answered.
        std::set<endpoint> outstanding;     ///< Members without an answer.
    };

    /** An inquiry packet to send to members. */
    struct outgoing_inquiry
    {
        packet_envelope envelope;
        std::string packet;
        std::vector<endpoint> members;
    };

    /** Starts an inquiry. Returns the members to send it to.
        Precondition: there is no inquiry for the flow yet, and is_full() is false.
        @param inquiring_agent  gets no inquiry; its server has returned the packet already */
    std::vector<endpoint> start(time_point now, const packet_table& table,
                                const packet_route& route, const endpoint& inquiring_agent,
                                const packet_envelope& envelope, std::string_view packet,
                                bool is_refusal = false);

    /** Whether there is an inquiry for a flow. */
    bool contains(const packet_flow& flow) const
    {
        return inquiries_.count(flow) != 0;
    }

    bool is_full() const
    {
        return inquiries_.size() >= max_inquiries;
    }

    std::size_t size() const
    {
        return inquiries_.size();
    }

    /** Handles an answer that a member doesn't hold the flow. Returns whether take_concluded() may
        return the inquiry now.
        @param held        generation of the member's table
        @param is_refusal  the member admits no opening packet of the flow from now on */
    bool handle_absent(const packet_flow& flow, const endpoint& member, generation held,
                       bool is_refusal = false);

    /** Handles an answer that a member holds the flow: ends the inquiry. */
    void handle_holder(const packet_flow& flow)
    {
        inquiries_.erase(flow);
    }

    /** Handles a newer table. Returns the inquiries to send to members that changed since the
        previous table. */
    std::vector<outgoing_inquiry> handle_table(const packet_table& table,
                                               const endpoint& inquiring_agent);

    /** Removes and returns the inquiries that show that no member in the table they used holds the
        flow. Call only while that table is fresh. */
    std::vector<inquiry> take_concluded();

    /** Removes and returns the inquiries that have timed out. */
    std::vector<inquiry> take_expired(time_point now);

private:
    /** Whether all members have answered, and the table used to choose them is at least as new as
        required_generation. */
    static bool has_answers(const inquiry& item)
    {
        return item.outstanding.empty() && item.required_generation <= item.member_table_generation;
    }

    static std::vector<endpoint> add_changed_members(const packet_table& table,
                                                     const packet_route& route,
                                                     const endpoint& inquiring_agent,
                                                     inquiry& item);

    template <typename Predicate>
    std::vector<inquiry> take_if(const Predicate& predicate);

    std::unordered_map<packet_flow, inquiry, packet_flow_hasher> inquiries_;
};

} // namespace carawayshelf
