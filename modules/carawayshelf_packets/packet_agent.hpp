#pragma once

#include "carawayshelf_packets/cold_rate_limiter.hpp"
#include "carawayshelf_packets/early_packets.hpp"
#include "carawayshelf_packets/envelope_ring.hpp"
#include "carawayshelf_packets/fast_failure_detector.hpp"
#include "carawayshelf_packets/flow_inquiries.hpp"
#include "carawayshelf_packets/load_tracker.hpp"
#include "carawayshelf_packets/opening_queue.hpp"
#include "carawayshelf_packets/opening_timing.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_observer.hpp"
#include "carawayshelf_packets/packet_port.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_packets/server_announcement.hpp"
#include "carawayshelf_packets/service_time_meter.hpp"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** The decisions of the agent beside a backend server whose flows are packets: the last gate for
    new flows, the queue before it, the search for open flows, and resets. Not thread-safe; no I/O.
 */
class packet_agent
{
public:
    struct options
    {
        endpoint data; ///< Where balancers and other agents send to.
        std::string domain;
        std::string service; ///< What its backend server serves, from the settings.
        duration announce_interval = std::chrono::seconds(1); ///< Of its backend server.

        /** Requests beyond the slots that the backend server is given: while one is answered, the
            next one's handshake is under way. More would wait there in the order of arrival. */
        std::uint32_t requests_ahead = 2;
    };

    /** How long others may go on without having heard of a change, at most: a follower hears its
        leader within 300 ms, a control instance gathers changes for 100 ms, an agent hears its
        control instance within table_fresh_for. A new member, or
        one of a service that a route newly leads to, takes new flows only after this; so whoever
        resets a flow with a fresh table has asked everyone who can hold it. */
    static constexpr duration settle_time = std::chrono::milliseconds(800);

    /** A table that control confirmed longer ago is no ground for resets: a heartbeat of 250 ms,
       and what may delay it. */
    static constexpr duration table_fresh_for = std::chrono::milliseconds(400);

    /** How often what waits and what is remembered is looked through. */
    static constexpr duration tick_interval = std::chrono::milliseconds(100);

    packet_agent(const options& own, const packet_format& format, packet_port& port,
                 packet_counters& counters, packet_observer& observer);

    /** Puts a new table in force. It counts as fresh once it is confirmed. */
    void set_table(time_point now, std::shared_ptr<const packet_table> table);

    /** Control has confirmed that the table is the newest, as of now. */
    void confirm_table(time_point now);

    /** Until its backend server announces itself anew, a restarted agent goes by what control has
        recorded of it, for this long: an interval of announcements, and what may delay one. */
    static constexpr int resume_announcement_intervals = 2;

    /** Takes an announcement in. Once it returns, what it says holds here. Returns false for one
        that is older than what is known. */
    bool handle_announcement(time_point now, const server_announcement& announcement);

    /** The backend server has left. Returns false when another one is known by now. */
    bool handle_departure(const std::string& id);

    /** Takes a datagram from a balancer or an agent; the packet in it may be written to. One that
        comes before the first table waits for that. */
    void handle_envelope(time_point now, const packet_envelope& envelope, char* packet,
                         std::size_t size);

    /** Takes a datagram from the backend server; it may be written to. */
    void handle_server_packet(time_point now, char* packet, std::size_t size);

    /** Refuses what waited too long and forgets old flows. Call every tick_interval. */
    void tick(time_point now);

    std::size_t flow_count() const
    {
        return flows_.size();
    }

    /** Requests under way at the backend server, and openings that wait for it. */
    std::uint32_t load() const
    {
        return requests_in_flight_ + static_cast<std::uint32_t>(opening_queue_.size());
    }

private:
    enum class flow_state : std::uint8_t
    {
        searching, ///< Given to the backend server, which may not hold it.
        opening,   ///< The opening packet was given to the backend server.
        open
    };

    struct flow
    {
        flow_state state = flow_state::searching;
        bool is_busy = false;            ///< Counted as a request under way.
        bool is_placed = false;          ///< Passed the gate here.
        bool must_report_holder = false; ///< The balancer expects it elsewhere.
        endpoint inquiring_agent;        ///< An agent that looks for it, or none.
        bool found_free_slot = false;    ///< Its request did, so that its time can be measured.
        bool client_finished = false;
        bool server_finished = false;
        endpoint balancer;
        time_point last_used;
        time_point busy_since;
        time_point
            request_sent_at; ///< When the request was given to the server; none between requests.
    };

    /** A packet of a client in a buffer that may be written to. */
    struct client_packet
    {
        packet_header header;
        char* data = nullptr;
        std::size_t size = 0;

        std::string_view bytes() const
        {
            return {data, size};
        }

        packet_flow flow() const
        {
            return {header.source, header.destination};
        }
    };

    using flow_map = std::unordered_map<packet_flow, flow, packet_flow_hasher>;

    // New flows, in packet_agent.cpp.
    void update_settle_times(time_point now, const packet_table& next);
    void send_early_packets(time_point now);
    void resume_from_record(time_point now);
    void handle_packet(time_point now, const packet_envelope& envelope,
                       const client_packet& packet);
    void handle_opening(time_point now, const packet_envelope& envelope, const packet_route& route,
                        const client_packet& packet);
    void decide_opening(time_point now, const packet_envelope& envelope, const packet_route& route,
                        const client_packet& packet);
    forward_reason check_admission(time_point now, const packet_envelope& envelope,
                                   const packet_route& route, const endpoint& address);
    bool has_capacity(const packet_envelope& envelope) const;
    bool is_excluded_as_failing(time_point now, const packet_envelope& envelope,
                                const packet_route& route);
    std::uint32_t comparison_load() const;
    bool is_settled(time_point now, const endpoint& address) const;
    bool is_cold(time_point now) const;
    bool is_server_known(time_point now) const;
    void accept(time_point now, const packet_envelope& envelope, const client_packet& packet);
    void forward_or_queue(time_point now, packet_envelope envelope, const packet_route& route,
                          const client_packet& packet, forward_reason reason);
    bool queue_opening(time_point now, const packet_envelope& envelope, const packet_route& route,
                       const client_packet& packet);
    void admit_queued(time_point now);
    void refuse_expired(time_point now);
    void refuse(time_point now, const packet_envelope& envelope, const packet_header& header);

    // Flows and packets on their way, in packet_agent_flows.cpp.
    void handle_flow_packet(time_point now, const packet_envelope& envelope,
                            const packet_route& route, const client_packet& packet);
    void handle_returned_packet(time_point now, const client_packet& packet);
    void deliver(const packet_envelope& envelope, const client_packet& packet);
    void forward(time_point now, packet_envelope envelope, const packet_route& route,
                 const client_packet& packet, forward_reason reason);
    endpoint next_candidate(packet_envelope& envelope) const;
    void forward_opening(time_point now, packet_envelope envelope, const packet_route& route,
                         const client_packet& packet);
    bool add_untried_members(packet_envelope& envelope, const packet_route& route) const;
    bool is_table_fresh(time_point now) const;
    void drop_packet(packet_drop reason, const packet_envelope& envelope,
                     const packet_header& header);
    void reset_flow(packet_reset reason, const packet_envelope& envelope,
                    const packet_header& header);
    void report_decision(const char* what, std::string_view reason, const packet_envelope& envelope,
                         const packet_header& header);
    void notify_balancer(time_point now, packet_envelope_kind kind, const packet_flow& key,
                         const endpoint& balancer);
    packet_envelope describe_load(time_point now, packet_envelope_kind kind) const;
    void end_abandoned_requests(time_point now);
    void start_request(time_point now, flow& item);
    void end_request(time_point now, flow& item, bool was_answered);
    void erase_flow(time_point now, flow_map::iterator item);
    void erase_idle_flows(time_point now);
    const std::string& service() const;

    // Flows that are looked for at all members, in packet_agent_inquiries.cpp.
    void start_inquiry(time_point now, const packet_envelope& envelope, const packet_route& route,
                       const client_packet& packet);
    void send_inquiry(const packet_envelope& envelope, const std::vector<endpoint>& members,
                      std::string_view packet);
    void ask_changed_members(time_point now);
    void conclude_inquiries(time_point now);
    void drop_expired_inquiries(time_point now);
    void handle_inquiry_answer(time_point now, const packet_envelope& answer);
    void answer_inquiry(time_point now, packet_envelope_kind kind, const packet_flow& key,
                        const endpoint& inquiring_agent);
    void report_holder(time_point now, const packet_flow& key, flow& item);

    options own_;
    const packet_format& format_;
    packet_port& port_;
    packet_counters& counters_;
    packet_observer& observer_;

    std::shared_ptr<const packet_table> table_;
    time_point confirmed_at_;
    time_point membership_settled_at_; ///< When others can be expected to know of this agent.
    bool is_member_ = false;
    std::unordered_map<endpoint, time_point>
        newly_routed_since_; ///< Routes that lead here since lately.

    early_packets early_packets_;
    flow_map flows_;
    envelope_ring delivered_envelopes_;
    flow_inquiries inquiries_;
    cold_rate_limiter cold_limiter_;
    opening_queue opening_queue_;
    std::uint32_t requests_in_flight_ = 0;
    std::deque<std::pair<time_point, packet_flow>> answered_openings_; ///< Oldest first.
    service_time_meter service_time_meter_;
    fast_failure_detector failure_detector_;

    bool has_server_ = false;
    server_announcement server_;
    time_point announced_at_;
    time_point cold_until_;
    bool needs_announcement_ = false; ///< Its failure domain has just come back.
    std::string departed_server_id_;
    time_point recorded_state_until_; ///< Goes by what control recorded until then.
};

} // namespace carawayshelf
