#pragma once

#include "carawayshelf_admission/agent_counters.hpp"
#include "carawayshelf_admission/agent_port.hpp"
#include "carawayshelf_admission/agent_restart_state.hpp"
#include "carawayshelf_admission/echo_issuer.hpp"
#include "carawayshelf_admission/exchange_cache.hpp"
#include "carawayshelf_admission/flow_table.hpp"
#include "carawayshelf_admission/request_limiter.hpp"
#include "carawayshelf_catalogue/change.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_wire/coap_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** Settings of an agent that are not part of the catalogue. */
struct agent_settings
{
    duration flow_idle_timeout = std::chrono::seconds(300); ///< An idle flow is removed after this.
    duration default_deadline = std::chrono::seconds(5);    ///< Of a request without the option.
    /** A running request is answered "outcome unknown" this long after its arrival. */
    duration server_timeout = std::chrono::seconds(30);
    /** Interval at which the agent reports its load to the owners of the buckets of which it is the
        second choice. */
    duration load_hint_interval = std::chrono::milliseconds(100);
    /** If a balancer has relayed nothing for this long while another one has, replies go through
        the other one. */
    duration balancer_timeout = std::chrono::seconds(1);
    /** If the process was frozen for at least this long, the agent serves nothing until it gets a
        table from control, because its lease may have expired. Must be shorter than the lease. */
    duration max_freeze = std::chrono::seconds(2);
    bool use_second_choice = true; ///< Whether it may place new flows on the second choice.
};

/** The state machine of one agent: holds the flows of its backend server and decides which requests
    the server gets.

    Pass in every datagram, every table update and the time; the core sends through its agent_port.
    Not thread-safe.
*/
class agent_core
{
public:
    /** @param epoch_secret  random and new at each start, so that copies of requests that were
                             admitted in an earlier epoch never run again
        @param counters      must outlive the core */
    agent_core(const agent_settings& settings, std::uint64_t epoch_secret, agent_port& port,
               agent_counters& counters);

    /** Continues from the exported state of the previous process: same member, epoch and flows.
        Serves nothing until it gets a table from control. Precondition: called once, right after
        construction. */
    void restore(time_point now, const agent_restart_state& state);

    /** Stops admitting datagrams, permanently. Running and queued requests are completed; call
        export_state() once is_ready_for_export(). */
    void begin_export();

    /** Whether begin_export() was called and no request is running or queued any more. */
    bool is_ready_for_export() const;

    /** Returns the state for the next process. The caller of this function fills in the epoch, the
        server's address and the local ports. Precondition: is_ready_for_export(). */
    agent_restart_state export_state(time_point now) const;

    /** Applies a new table.

        @param service  name of the service of this agent's backend server
        @param self     own member id, zero until control has assigned one */
    void handle_table(time_point now, const subscriber_table& table, const std::string& service,
                      member_id self);

    /** Handles an envelope from a balancer or another agent. */
    void receive_envelope(time_point now, const envelope& header, std::string_view datagram);

    /** Handles a datagram that the backend server sent to the socket of a flow. */
    void receive_from_server(time_point now, const flow_key& key, std::string_view datagram);

    /** Handles the backend server's announcement that it has started. */
    void server_started(time_point now);

    /** Handles that the backend server's port is closed: running requests are answered "outcome
        unknown" and queued ones refused. */
    void server_down(time_point now);

    /** Handles that a balancer's envelope port is closed: replies go through another balancer. */
    void balancer_unreachable(const endpoint& balancer);

    /** Starts draining, or cancels it. A draining agent adopts no new flows. */
    void set_draining(bool draining);

    /** Advances the time; call at least every few milliseconds while requests are queued. */
    void tick(time_point now);

    /** Buckets of which this agent is an earlier owner but holds no flow any more. */
    std::vector<released_bucket> releasable_buckets() const;

    /** Newest table generation that a table or an envelope carried. */
    generation newest_generation() const
    {
        return newest_generation_;
    }

    /** Number of flows that the agent holds itself, without those placed on another agent. */
    std::size_t flow_count() const
    {
        return flows_.size() - placed_count_;
    }

    /** Whether a planned stop may complete now: no request is running or queued and no flow has an
        observation. */
    bool is_idle() const;

    /** Whether the agent serves nothing until it gets a table from control, after a freeze or
        restore(). */
    bool is_unconfirmed() const
    {
        return is_unconfirmed_;
    }

    /** Whether the agent holds this flow itself, that is, has not placed it on another agent. */
    bool holds(const flow_key& key) const;

    const request_limiter& limiter() const
    {
        return limiter_;
    }

    bool is_cold(time_point now) const
    {
        return limiter_.ramp().is_cold(now);
    }

    std::size_t cached_exchange_count() const
    {
        return exchange_cache_.size();
    }

private:
    /** Max-Age option of refusals and of notifications that end an observation, in seconds. */
    static constexpr std::uint32_t max_age_s = 1;

    struct reported_load
    {
        std::uint32_t flows = 0;
        time_point received_at;
    };

    void update_clock(time_point now);
    flow* find_flow(const flow_key& key);
    void update_row(const envelope& header);
    void record_balancer(time_point now, const envelope& header);
    bool forward_to_placement(const envelope& header, std::string_view datagram, flow& held_flow);
    /** Forwards a datagram to another agent.
        @param visited_at  if set, a visit of this agent at this row generation is added */
    void forward(const envelope& header, std::string_view datagram, member_id next,
                 envelope_kind kind, std::optional<generation> visited_at = std::nullopt);
    void adopt(time_point now, const envelope& header, std::string_view datagram);
    bool may_have_run_elsewhere(time_point now, const flow_key& key,
                                const coap_message& parsed) const;
    /** Places a new flow on the second choice, if that one can take it. Returns whether it did so.
        @param cannot_adopt  whether this agent cannot adopt the flow itself */
    bool try_place(time_point now, const envelope& header, std::string_view datagram,
                   bool cannot_adopt);
    void reject_with_reset(const envelope& header, const coap_message& parsed);
    void handle_message(time_point now, const envelope& header, const coap_message& parsed,
                        std::string_view datagram, flow& held_flow);
    void handle_request(time_point now, const envelope& header, const coap_message& parsed,
                        std::string_view datagram, flow& held_flow);
    static void cancel_observation(const coap_message& parsed, flow& held_flow);
    void handle_duplicate(const flow_key& key, const exchange& known);
    bool check_echo(time_point now, const flow_key& key, const coap_message& parsed,
                    exchange& record);
    void submit(time_point now, const flow_key& key, const coap_message& parsed,
                std::string_view datagram, exchange& record, flow& held_flow);
    void run(time_point now, const exchange_key& key, exchange& record);
    void run_queued(time_point now);
    void answer(const exchange_key& key, exchange& record, const coap_message& reply);
    void refuse(const exchange_key& key, exchange& record, refusal_reason reason);
    void answer_outcome_unknown(const exchange_key& key, exchange& record, const char* why);
    coap_message make_reply(const exchange_key& key, const exchange& record, std::uint8_t code);
    void finish_request(time_point now, const exchange_key& key, std::string_view datagram,
                        const coap_message& parsed, flow& held_flow);
    void update_observation(const exchange& record, const coap_message& parsed, flow& held_flow);
    bool relay_notification(const flow_key& key, std::string_view datagram,
                            const coap_message& parsed, flow& held_flow);
    void end_observations(const flow_key& key, flow& held_flow);
    void end_all_observations();
    void abort_running(const char* why);
    void remove_open_request(const exchange_key& key);
    void send_to_caller(const flow_key& key, const flow& held_flow, std::string_view datagram);
    void send_reply(const flow_key& key, const endpoint& balancer, std::string_view datagram);
    /** Returns the preferred balancer, or the one that relayed a datagram last if the preferred one
        is no longer known or has relayed nothing for balancer_timeout. */
    endpoint choose_balancer(const endpoint& preferred) const;
    void drop(agent_drop reason);
    /** Refuses queued requests and ends all observations. */
    void handle_domain_out();
    void expire_flows(time_point now);
    void abort_timed_out(time_point now);
    void send_load_hints();
    std::optional<refusal_reason> adoption_refusal_reason() const;
    std::uint32_t load() const;

    agent_settings settings_;
    agent_port& port_;
    agent_counters& counters_;
    echo_issuer echo_issuer_;

    member_id self_ = 0;
    service_id service_ = 0;
    service_entry entry_;
    std::string service_name_;
    generation table_generation_ = 0;
    generation newest_generation_ = 0;
    generation tenure_from_ = 0; ///< Of this agent; see member_address::tenure_from.
    bool is_domain_out_ = false;
    bool is_draining_ = false;
    bool is_server_up_ = false;
    bool is_unconfirmed_ = false;
    bool is_exporting_ = false;
    std::uint64_t echo_secret_;
    std::vector<bucket_row> rows_; ///< Newest row of each bucket, from a table or an envelope.
    std::unordered_map<member_id, member_address> member_addresses_;
    std::unordered_map<member_id, member_state> member_states_;
    std::unordered_map<member_id, reported_load> reported_loads_;
    std::unordered_map<endpoint, time_point> balancers_; ///< When each last relayed a datagram.

    flow_table flows_;
    std::size_t placed_count_ = 0; ///< Flows in flows_ that are placed on another agent.
    exchange_cache exchange_cache_;
    request_limiter limiter_;
    std::vector<exchange_key> running_;
    std::uint16_t next_message_id_ = 1;
    time_point now_;
    time_point next_load_hint_;
    time_point next_expiry_;
};

} // namespace carawayshelf
