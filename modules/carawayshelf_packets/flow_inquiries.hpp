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

/** Flows that an agent looks for at all members of their route's services at once, after the likely
    ones have returned a packet. Each that doesn't hold the flow says so; once all have, and nobody
    on the way held a newer table than the one that they were asked by, nobody holds it. However
    many members there are, the answer takes one way there and back. A member of which control has
    not heard for a lease and that doesn't answer the question itself either is taken for lost with
    its server; where any other member doesn't answer there is no outcome. Answers flows of servers
    that left while nobody could note it. Not thread-safe; no I/O. */
class flow_inquiries
{
public:
    /** After this the packet is dropped; its client has sent it again by then. */
    static constexpr duration timeout = std::chrono::seconds(1);

    /** Control's mark and this long without an answer make a member lost: several times the way
        there and back, over a link with packets waiting. */
    static constexpr duration silent_member_timeout = std::chrono::milliseconds(300);

    /** Flows that are looked for at the same time, at most. */
    static constexpr std::size_t max_inquiries = 512;

    /** A flow that is looked for. */
    struct inquiry
    {
        packet_envelope envelope;
        std::string packet;
        time_point started_at;
        generation asked_generation = 0;    ///< Table by which the members were asked.
        generation required_generation = 0; ///< Newest table of anybody on the way.
        std::set<endpoint> outstanding;     ///< Without those that are marked silent.
        std::set<endpoint> silent;          ///< Marked so by control, and without an answer yet.
        time_point silent_asked_at;         ///< The last question to one of them.

        /** Whether members that control marks silent have not answered. */
        bool has_silent_members() const
        {
            return !silent.empty();
        }
    };

    /** A packet to send to members. */
    struct outgoing_inquiry
    {
        packet_envelope envelope;
        std::string packet;
        std::vector<endpoint> members;
    };

    /** Starts to look for a flow. Returns whom to ask.
        Precondition: the flow is not looked for yet, and there is room.
        @param own  the agent that asks; it has returned the packet itself */
    std::vector<endpoint> start(time_point now, const packet_table& table,
                                const packet_route& route, const endpoint& own,
                                const packet_envelope& envelope, std::string_view packet);

    /** Whether a flow is looked for. */
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

    /** A member doesn't hold the flow. Returns whether that may conclude the inquiry.
        @param held  the table that it goes by */
    bool handle_absent(const packet_flow& flow, const endpoint& member, generation held);

    /** A member holds the flow. */
    void handle_holder(const packet_flow& flow)
    {
        inquiries_.erase(flow);
    }

    /** A newer table is in force. Returns what to ask members that changed since. */
    std::vector<outgoing_inquiry> handle_table(time_point now, const packet_table& table,
                                               const endpoint& own);

    /** Takes out those flows that nobody holds, as far as the table by which they were asked tells.
     */
    std::vector<inquiry> take_concluded(time_point now);

    /** Takes out those that have lasted too long. */
    std::vector<inquiry> take_expired(time_point now);

private:
    /** Whether all that are not marked silent have answered, by a table that is new enough. */
    static bool has_answers(const inquiry& item)
    {
        return item.outstanding.empty() && item.required_generation <= item.asked_generation;
    }

    static std::vector<endpoint> add_members_to_ask(time_point now, const packet_table& table,
                                                    const packet_route& route, const endpoint& own,
                                                    inquiry& item);

    template <typename Predicate>
    std::vector<inquiry> take_if(const Predicate& picks);

    std::unordered_map<packet_flow, inquiry, packet_flow_hasher> inquiries_;
};

} // namespace carawayshelf
