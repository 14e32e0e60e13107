#pragma once

#include "carawayshelf_overload/load_options.hpp"
#include "carawayshelf_overload/opening_admission.hpp"
#include "carawayshelf_overload/opening_timing.hpp"
#include "carawayshelf_overload/request_time_meter.hpp"
#include "carawayshelf_overload/request_watch.hpp"
#include "carawayshelf_overload/service_time_meter.hpp"
#include "carawayshelf_packets/backend_server_state.hpp"
#include "carawayshelf_packets/caller_failure_watch.hpp"
#include "carawayshelf_packets/client_packet.hpp"
#include "carawayshelf_packets/early_packets.hpp"
#include "carawayshelf_packets/ended_sessions.hpp"
#include "carawayshelf_packets/envelope_ring.hpp"
#include "carawayshelf_packets/flow_inquiries.hpp"
#include "carawayshelf_packets/load_tracker.hpp"
#include "carawayshelf_packets/opening_actions.hpp"
#include "carawayshelf_packets/pace_monitor.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_observer.hpp"
#include "carawayshelf_packets/packet_port.hpp"
#include "carawayshelf_packets/packet_table.hpp"
#include "carawayshelf_packets/pending_openings.hpp"
#include "carawayshelf_packets/recent_flows.hpp"
#include "carawayshelf_packets/server_announcement.hpp"
#include "carawayshelf_packets/server_restart_detector.hpp"
#include "carawayshelf_packets/settle_tracker.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** The decisions of the agent of a backend server for flows of packets: admission of new flows, the
    search for open flows, and resets. Not thread-safe; no I/O. */
class packet_agent final : private opening_actions
{
public:
    struct options
    {
        endpoint data; ///< Address that balancers and other agents send to.
        std::string domain;
        std::string service; ///< Service of its backend server, from the settings.
        endpoint server;     ///< Address of its backend server, from the settings.
        duration announce_interval = std::chrono::seconds(1); ///< Of the server's announcements.

        /** Requests that the backend server gets beyond its slots, so that the handshake of the
            next request takes place while all slots are in use. More of them would wait at the
            server in order of arrival, instead of here by priority. */
        std::uint32_t requests_ahead = 2;

        load_options load; ///< Decisions under load, from the settings.
    };

    static constexpr duration settle_time = settle_tracker::settle_time;

    /** A table is fresh for this long after control was asked and has confirmed it: a heartbeat
        interval of 250 ms plus possible delays. Flows are reset only by a fresh table. */
    static constexpr duration max_confirmation_age = std::chrono::milliseconds(400);

    /** Longer than clients go on to retransmit a packet. */
    static constexpr duration returned_flow_lifetime = std::chrono::seconds(10);

    /** Interval of tick(). */
    static constexpr duration tick_interval = std::chrono::milliseconds(100);

    packet_agent(const options& agent_options, const packet_format& format, packet_port& port,
                 packet_counters& counters, packet_observer& observer);

    /** Sets a new table. Whether it is fresh depends on the latest call of confirm_table() only. */
    void set_table(time_point now, std::shared_ptr<const packet_table> table);

    /** Records that control has confirmed that the table is the newest.
        @param asked_at  when control was asked; the confirmation may have waited since */
    void confirm_table(time_point now, time_point asked_at);

    /** Flows that an earlier incarnation of the agent admitted have ended after this: longer than
        the users' flows, which last 60 s at most. */
    static constexpr duration max_flow_age = std::chrono::seconds(75);

    /** Records that no earlier incarnation of the agent admitted flows that may still be open, so
        that this one knows all flows of its backend server. Otherwise it learns that only after
        max_flow_age. While it knows them, a packet of another flow does not reach the server. */
    void note_first_incarnation()
    {
        has_no_earlier_flows_ = true;
    }

    /** Handles an announcement of the backend server; if applied, it is in effect when the call
        returns. An announcement of another service or address is foreign: the agent would retire
        its own server, whose open flows no other agent would look for here any more. */
    announcement_verdict handle_announcement(time_point now,
                                             const server_announcement& announcement);

    /** Handles the announcement of the backend server that it is about to end: it gets no new flows
        from now on. Its flows still reach it. Returns false, and ignores it, if another server has
        taken its place. */
    bool handle_departure(const std::string& id);

    /** Handles the end of a backend server that has announced its departure: its flows are lost.
        Ignored while a server is known. */
    void handle_server_end(time_point now);

    /** Handles an envelope from a balancer or an agent. One that arrives before the first table is
        kept for it.
        @param packet  the packet in the envelope; may be modified
        @param size    length of the packet in bytes */
    void handle_envelope(time_point now, const packet_envelope& envelope, char* packet,
                         std::size_t size);

    /** Handles a packet from the backend server; it may be modified.
        @param size  length of the packet in bytes */
    void handle_server_packet(time_point now, char* packet, std::size_t size);

    /** Removes queued packets after their deadline, removes idle flows and ends inquiries. Call
        every tick_interval. */
    void tick(time_point now);

    std::size_t flow_count() const
    {
        return flows_.size();
    }

    /** Requests in flight at the backend server, and opening packets queued for it. */
    std::uint32_t load() const
    {
        return requests_in_flight_ + static_cast<std::uint32_t>(pending_openings_.size());
    }

private:
    enum class flow_state : std::uint8_t
    {
        searching, ///< A packet of it was given to the backend server, which may not hold the flow.
        opening,   ///< Its opening packet was given to the backend server.
        open
    };

    struct flow
    {
        flow_state state = flow_state::searching;
        bool is_busy = false;                ///< Counted as a request in flight.
        bool is_admitted = false;            ///< Admitted by this agent.
        bool is_accepted = false;            ///< Its backend server has sent a packet of it.
        bool must_report_holder = false;     ///< The balancer may not know that the flow is here.
        endpoint inquiring_agent;            ///< The agent that sent an inquiry for it, or none.
        std::uint32_t requests_at_start = 0; ///< In flight when its request started, with it.
        bool client_finished = false;
        bool server_finished = false;
        endpoint balancer;
        std::uint8_t caller_domain = 0; ///< Tag of the balancer's failure domain; 0 if unknown.
        time_point last_used;
        time_point answered_at; ///< When the server last sent data; time_point() before.
        time_point busy_since;
        time_point searching_since;  ///< When the server was given its first packet.
        time_point opening_given_at; ///< When the server was last given its opening packet, or
                                     ///< later: when the flow became known.
        std::optional<std::uint32_t> acknowledged; ///< Highest number of the client's packets.
        request_watch request;
    };

    using flow_map = std::unordered_map<packet_flow, flow, packet_flow_hasher>;

    // New flows, in packet_agent.cpp.
    void send_early_packets(time_point now);
    void use_recorded_state(time_point now);
    void handle_packet(time_point now, const packet_envelope& envelope,
                       const client_packet& packet);
    void handle_opening(time_point now, const packet_envelope& envelope, const packet_route& route,
                        const client_packet& packet);
    void decide_opening(time_point now, const packet_envelope& envelope, const packet_route& route,
                        const client_packet& packet);
    opening_attributes opening_of(const packet_envelope& envelope, const packet_route& route) const;
    forward_reason check_admission(time_point now, const packet_envelope& envelope,
                                   const packet_route& route, const endpoint& address);
    server_admission_state admission_state(time_point now, const endpoint& address) const;
    bool knows_all_flows(time_point now) const;
    void admit_flow(time_point now, const packet_envelope& envelope, const client_packet& packet);
    void forward_or_queue(time_point now, packet_envelope envelope, const packet_route& route,
                          const client_packet& packet, forward_reason reason);

    // For pending_openings, in packet_agent.cpp.
    server_capacity capacity() const override;
    const packet_route* find_route(const endpoint& address) const override;
    forward_reason try_admit(time_point now, const packet_envelope& envelope,
                             const packet_route& route, const client_packet& packet) override;
    bool can_ask_members(time_point now, const packet_route& route,
                         const packet_flow& key) const override;
    void flush() override;

    // Open flows, forwarding and notifications, in packet_agent_flows.cpp.
    void handle_flow_packet(time_point now, const packet_envelope& envelope,
                            const packet_route& route, const client_packet& packet);
    void handle_returned_packet(time_point now, const client_packet& packet);
    void deliver(const packet_envelope& envelope, const client_packet& packet);
    void forward(time_point now, packet_envelope envelope, const packet_route& route,
                 const client_packet& packet, forward_reason reason) override;
    endpoint next_candidate(packet_envelope& envelope) const;
    void forward_opening(time_point now, packet_envelope envelope, const packet_route& route,
                         const client_packet& packet);
    bool add_untried_members(packet_envelope& envelope, const packet_route& route) const;
    bool is_table_fresh(time_point now) const;
    void drop_packet(packet_drop reason, const packet_envelope& envelope,
                     const packet_header& header) override;
    void reset_flow(packet_reset reason, const packet_envelope& envelope,
                    const packet_header& header) override;
    void report_decision(const char* action, std::string_view reason,
                         const packet_envelope& envelope, const packet_header& header);
    void notify_balancer(time_point now, packet_envelope_kind kind, const packet_flow& key,
                         const packet_envelope& received) override;
    void notify_balancer(time_point now, packet_envelope_kind kind, const packet_flow& key,
                         const endpoint& balancer, std::uint8_t caller_domain);
    packet_envelope describe_load(time_point now, packet_envelope_kind kind,
                                  std::uint8_t caller_domain = 0) const;
    void end_abandoned_requests(time_point now);
    void start_request(time_point now, flow& item);
    void end_request(time_point now, flow& item, bool was_answered);
    static void note_acknowledged(flow& item, std::uint32_t acknowledged);
    bool is_accepted(const packet_flow& key) const;
    flow_map::iterator erase_flow(time_point now, flow_map::iterator item);
    void erase_flow(time_point now, const packet_flow& key);
    void erase_idle_flows(time_point now);

    // Flows of a backend server that has ended, in packet_agent_sessions.cpp.
    void note_announcement(time_point now, const backend_server_state::announcement_result& result);
    void note_server_packet(time_point now, const packet_header& header, flow& item);
    bool confirms_restart(time_point now, const client_packet& returned);
    bool handle_return_after_restart(time_point now, const packet_envelope* envelope,
                                     const client_packet& packet);
    void handle_server_alive(time_point now);
    void end_sessions(time_point now, time_point openings_until);
    bool reset_ended_flow(time_point now, const packet_envelope& envelope,
                          const client_packet& packet);
    void reset_ended_sessions(time_point now);

    // Inquiries, in packet_agent_inquiries.cpp.
    void start_inquiry(time_point now, const packet_envelope& envelope, const packet_route& route,
                       const client_packet& packet) override;
    void send_inquiry(const packet_envelope& envelope, const std::vector<endpoint>& members,
                      std::string_view packet);
    void send_inquiries_to_changed_members();
    void conclude_inquiries(time_point now);
    void drop_expired_inquiries(time_point now);
    void handle_refusal_inquiry(time_point now, const packet_envelope& envelope,
                                const client_packet& packet);
    void handle_inquiry_answer(time_point now, const packet_envelope& answer);
    void answer_inquiry(time_point now, packet_envelope_kind kind, const packet_flow& key,
                        const endpoint& inquiring_agent, std::uint8_t flags = 0);
    void report_holder(time_point now, const packet_flow& key, flow& item);

    options options_;
    const packet_format& format_;
    packet_port& port_;
    packet_counters& counters_;
    packet_observer& observer_;

    std::shared_ptr<const packet_table> table_;
    time_point confirmed_at_;
    time_point first_table_at_; ///< time_point() before the first table.
    bool has_no_earlier_flows_ = false;
    settle_tracker settle_tracker_;

    early_packets early_packets_;
    flow_map flows_;
    /** Flows of which the backend server has returned a packet, so that it doesn't hold them. Such
        a flow can't come to it later, except by an opening packet. */
    recent_flows returned_flows_{returned_flow_lifetime};
    envelope_ring delivered_envelopes_;
    flow_inquiries inquiries_;
    opening_admission admission_;
    pace_monitor pace_monitor_;
    pending_openings pending_openings_;
    caller_failure_watch failures_{admission_, counters_, observer_};
    std::uint32_t requests_in_flight_ = 0;
    std::deque<std::pair<time_point, packet_flow>> answered_openings_; ///< Oldest first.
    service_time_meter service_time_meter_;
    request_time_meter request_time_meter_;
    backend_server_state server_;
    server_restart_detector restart_detector_;
    ended_sessions ended_sessions_;
};

} // namespace carawayshelf
