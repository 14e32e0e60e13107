#pragma once

#include "carawayshelf_overload/load_options.hpp"
#include "carawayshelf_overload/offered_load_meter.hpp"
#include "carawayshelf_overload/opening_queue.hpp"
#include "carawayshelf_overload/shortage_detector.hpp"
#include "carawayshelf_overload/shortage_policy.hpp"
#include "carawayshelf_packets/flow_inquiries.hpp"
#include "carawayshelf_packets/opening_actions.hpp"
#include "carawayshelf_packets/packet_observer.hpp"
#include "carawayshelf_packets/recent_flows.hpp"

#include <string_view>

namespace carawayshelf
{

/** The opening packets for which an agent is the last candidate while its backend server has no
    room: those that wait, and those that are refused. Not thread-safe; no I/O. */
class pending_openings
{
public:
    /** A reset that refuses a flow reaches the client in this time after the members were asked, or
        the client has given up. */
    static constexpr duration refused_flow_lifetime =
        flow_inquiries::timeout + opening_timing::attempt_timeout;

    /** Maximum number of inquiry packets between two calls of tick() that ask members about flows
        to refuse. Beyond it, opening packets that can't be admitted are dropped. */
    static constexpr std::size_t max_refusal_messages_per_tick = 256;

    /** The other arguments must outlive the object.
        @param mode  what happens to openings that can't be served in time */
    pending_openings(shortage_mode mode, const packet_format& format, opening_actions& actions,
                     packet_counters& counters, packet_observer& observer);

    /** Handles a further copy of an opening packet that is queued here, or of a refused flow.
        Returns false if the flow is neither. */
    bool handle_copy(time_point now, const packet_envelope& envelope, const packet_header& header);

    /** Queues or refuses an opening packet for which this agent is the last candidate.
        @param reason  why the backend server doesn't get it now */
    void add(time_point now, const packet_envelope& envelope, const packet_route& route,
             const client_packet& packet, forward_reason reason);

    /** Drops the packets whose clients have given up, and admits others while there is room. */
    void admit(time_point now);

    /** Refuses a flow by a reset, once all members have answered that they don't hold it and admit
        no copy of its opening packet: a copy may have opened the flow at another member. Drops the
        packet if that can't be found out; the client retransmits it or gives up by itself. */
    void refuse_by_consent(time_point now, const packet_envelope& envelope,
                           const packet_route& route, const client_packet& packet);

    /** Admits no copy of this flow's opening packet from now on. */
    void mark_as_refused(time_point now, const packet_flow& flow)
    {
        refused_flows_.add(now, flow);
    }

    /** Counts messages to members that ask about a refusal. */
    void record_inquiry(std::size_t messages)
    {
        refusal_messages_left_ -= std::min(refusal_messages_left_, messages);
    }

    /** Records that an opening was admitted without waiting. */
    void record_admission(time_point now, const packet_route& route)
    {
        record_opening(now, route);
    }

    /** Records a request on a flow that was open already. */
    void record_request_of_open_flow(time_point now)
    {
        if (mode_ == shortage_mode::refuse)
        {
            offered_load_.record_request_of_open_flow(now);
        }
    }

    /** Admits, refuses and drops packets. Call every packet_agent::tick_interval. */
    void tick(time_point now);

    bool contains(const packet_flow& flow) const
    {
        return queue_.contains(flow);
    }

    /** Number of queued packets. */
    std::size_t size() const
    {
        return queue_.size();
    }

    /** Requests in flight and queued packets. With shortage_mode::refuse, only packets that would
        come before one of this priority count, and the sum is divided by the share of the server
        that more urgent openings leave. */
    std::uint32_t load_ahead(time_point now, std::uint32_t priority) const;

private:
    /** Whether openings of a route are refused early in a shortage. */
    bool sheds(const packet_route& route) const
    {
        return mode_ == shortage_mode::refuse && route.target_latency_ms != 0;
    }

    void record_opening(time_point now, const packet_route& route);
    bool queue(time_point now, const packet_envelope& envelope, const packet_route& route,
               const client_packet& packet);
    void add_or_shed(time_point now, const packet_envelope& envelope, const packet_route& route,
                     const client_packet& packet, forward_reason reason);
    void enqueue(time_point now, std::uint32_t priority, queued_opening opening);
    void admit_or_forward(time_point now, queued_opening next);
    void refuse_without_turn(time_point now);
    void record_refusal_of_queued(time_point now, const packet_header& header);
    void refuse_now(time_point now, opening_refusal reason, const packet_envelope& envelope,
                    const packet_route* route, const packet_header& header);
    void drop_expired(time_point now);
    double in_server_units(double requests_per_s) const;
    void record_state(time_point now, std::string_view state);

    const shortage_mode mode_;
    const packet_format& format_;
    opening_actions& actions_;
    packet_counters& counters_;
    packet_observer& observer_;

    opening_queue queue_;
    recent_flows refused_flows_{refused_flow_lifetime}; ///< Their opening packets are dropped.
    std::size_t refusal_messages_left_ = max_refusal_messages_per_tick;
    offered_load_meter offered_load_;
    shortage_detector shortage_;
};

} // namespace carawayshelf
