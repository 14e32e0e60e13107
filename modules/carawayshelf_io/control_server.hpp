#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/membership_manager.hpp"
#include "carawayshelf_consensus/order_fence.hpp"
#include "carawayshelf_io/control_protocol.hpp"
#include "carawayshelf_io/encoded_update_cache.hpp"
#include "carawayshelf_io/file_log_store.hpp"
#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/lease_table.hpp"
#include "carawayshelf_io/lifetime_guard.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/pause_monitor.hpp"
#include "carawayshelf_io/peer_links.hpp"
#include "carawayshelf_io/platform_binding.hpp"
#include "carawayshelf_io/restart_state_store.hpp"
#include "carawayshelf_io/settings.hpp"
#include "carawayshelf_io/update_batcher.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Counters of a control instance; any thread may read them. */
struct control_counters
{
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> forwarded{0};
    std::atomic<std::uint64_t> no_leader{0};
    std::atomic<std::uint64_t> not_confirmed{0};
    std::atomic<std::uint64_t> outdated{0};
    std::atomic<std::uint64_t> broken_frames{0};
    std::atomic<std::uint64_t> syncs{0};
    std::atomic<std::uint64_t> storage_failures{0};
    std::atomic<std::uint64_t> generation{0};
    std::atomic<std::uint64_t> term{0};
    std::atomic<std::uint64_t> is_leader{0};
};

/** One control instance: connects the consensus core to its storage, its peers, the subscribed
    daemons and the operators. All calls and handlers run on the io_context's single thread, except
    samples(). */
class control_server : public operator_api
{
public:
    control_server(boost::asio::io_context& io, const control_settings& settings);

    /** Loads the data folder and starts listening.
        Errors: storage_failed, storage_corrupt, invalid_settings. */
    failure start();

    void replace(const traffic_configuration& configuration, operator_result_handler done) override;
    void read(operator_result_handler done) override;
    void set_domain_out(const std::string& domain, bool out, caller_check is_caller_waiting,
                        operator_result_handler done) override;

    /** Sets a handler that is called when this instance has had no active leader for a second, and
        every second from then on until it has one. */
    void set_leaderless_handler(std::function<void()> on_leaderless);

    /** Replaces the seeds that the settings listed at the start. Has no effect if the settings list
        all instances: a change of that list takes a restart. */
    void set_seeds(const std::vector<endpoint>& seeds);

    /** Announces the planned stop of this instance to the others, so that it leaves the voters if
        enough others remain. It serves on until it is destroyed. */
    void begin_stop();

    /** Whether this instance still votes although the others can do without it: if it went now,
        they would bear one loss less until they notice. Precondition: begin_stop() was called. */
    bool is_leaving_voters() const;

    /** Pauses of this instance, which its periodic work notes. */
    pause_monitor& pauses()
    {
        return pauses_;
    }

    /** Whether any request of an operator or daemon still waits for its outcome. */
    bool has_pending_requests() const
    {
        return !pending_proposals_.empty() || !pending_reads_.empty() || !pending_forwards_.empty();
    }

    /** The failure that stopped this instance, if one did. */
    const failure& stop_reason() const
    {
        return stop_reason_;
    }

    /** Values for the metrics page. Thread-safe. */
    std::vector<metric_sample> samples() const;

private:
    using connection_pointer = std::shared_ptr<frame_connection>;
    using reply_pointer = std::unique_ptr<buffers::reply_object>;
    using reply_handler = std::function<void(reply_pointer)>;

    /** An incoming or outgoing connection. */
    struct open_connection
    {
        connection_pointer connection;
        time_point last_heard;
        time_point opened_at; ///< By the clock of the pause monitor.
    };

    /** A daemon that receives updates over its connection. */
    struct subscriber
    {
        connection_pointer connection;
        daemon_report report;
        std::string service;
        generation sent_generation = 0;
        std::uint64_t sent_instances_version = 0;
        time_point last_heard;
    };

    struct pending_proposal
    {
        term_number term = 0;
        std::uint64_t number = 0;
        reply_handler done;
    };

    struct pending_forward
    {
        std::uint64_t number = 0;
        reply_handler done;
        time_point sent_at;
        connection_pointer connection;
    };

    struct pending_read
    {
        buffers::request_object request;
        reply_handler done;
    };

    // Connections, storage and consensus, in control_server.cpp.
    void accept_next();
    void start_connection(const connection_pointer& connection);
    void drop_connection(const connection_pointer& connection);
    void handle_frame(const connection_pointer& connection, frame& received);
    static void refuse_without_storage(const connection_pointer& connection, const frame& received);
    failure create_cluster_on_first_start();
    failure load_store();
    void suspend_storage(const failure& why);
    void resume_storage();
    void maintain_peers();
    void call_if_leaderless();
    void propose_due_voters();
    void add_peer(instance_slot slot);
    endpoint address_of(instance_slot slot) const;
    bool is_confirmed() const;
    void answer_probe(const connection_pointer& connection, std::uint64_t number);
    void send_hello(const connection_pointer& connection);
    void handle_hello(const buffers::peer_hello_object& hello);
    void note_replaced_identities(const buffers::peer_hello_object& hello);
    void note_lost_identities(const buffers::peer_hello_object& hello);
    void send_message(const message& value);
    connection_pointer connection_of(instance_id peer) const;
    void schedule_output_processing();
    void process_output();
    failure store_output(const consensus_output& output);
    void apply_committed(const log_record& record);
    void take_snapshot_if_due();
    void stop(const failure& why);
    void tick_consensus();
    void on_tick_timer();
    void on_lease_timer();

    /** A request that must not undo what was accepted after its sender gave up. */
    struct ordered_request
    {
        buffers::request_object request;
        caller_check is_caller_waiting;
        /** From an operator: not forwarded to a leader that checks no positions. */
        bool is_order = false;
        reply_handler done;
        int attempts = 0;
    };

    // Requests of operators and daemons, in control_server_requests.cpp.
    void submit_change(const change& edit, operator_result_handler done);
    void submit_ordered(const std::shared_ptr<ordered_request>& ordered,
                        const std::optional<log_position>& reached);
    void handle_client_request(const connection_pointer& connection,
                               const buffers::request_object& request);
    std::optional<log_position> known_position() const;
    bool is_leader_checking_positions() const;
    bool is_outdated(const change& edit, const buffers::request_object& request,
                     const reply_handler& done);
    static reply_handler make_reply_handler(operator_result_handler done);
    void handle_request(const buffers::request_object& request, reply_handler done);
    void handle_request_as_leader(const buffers::request_object& request, reply_handler done);
    void propose(const buffers::request_object& request, reply_handler done);
    void propose_change(const change& edit, std::uint64_t number, reply_handler done);
    void finish_proposal(const log_record& record, const change_result& result);
    void fail_pending_proposals();
    void bootstrap(const buffers::request_object& request, const reply_handler& done);
    void forward_to_leader(const buffers::request_object& request, reply_handler done);
    void handle_forwarded_reply(reply_pointer reply);
    void fail_pending_forwards(const std::function<bool(const pending_forward&)>& matches,
                               const char* why);
    reply_pointer make_read_reply(const buffers::request_object& request);
    void fill_status(buffers::status_object& status);

    // Subscribed daemons, in control_server_subscribers.cpp.
    void handle_subscription(const connection_pointer& connection,
                             const buffers::subscribe_object& subscription);
    void handle_report(const connection_pointer& connection,
                       const buffers::daemon_lease_object& packed);
    void handle_restart_states(const connection_pointer& connection, const frame& received);
    void send_due_updates();
    void note_instances();
    void send_update(subscriber& to);
    std::string encode_update(generation from, const std::string& only_service) const;

    boost::asio::io_context& io_;
    control_settings settings_;
    std::unique_ptr<file_log_store> store_;
    bool is_storage_available_ = false; ///< The last storage operation succeeded.
    time_point storage_retry_at_;
    /** Whether is_confirmed() was true at least once since the log was loaded. */
    bool has_been_confirmed_ = false;
    std::unique_ptr<consensus_core> core_;
    cluster_state state_;
    membership_manager membership_;
    order_fence order_fence_;
    std::set<instance_slot> slots_checking_positions_; ///< Of other instances.
    /** Identities of this slot whose disk this instance has replaced, as far as others named them.
     */
    std::set<instance_id> replaced_identities_;
    std::set<instance_id> lost_identities_; ///< Of other instances; for consensus_core.
    pause_monitor pauses_;
    lease_table leases_;
    restart_state_store restart_states_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer lease_timer_;
    peer_links peers_;
    std::map<frame_connection*, open_connection> connections_;
    std::map<frame_connection*, subscriber> subscribers_;
    std::map<log_index, pending_proposal> pending_proposals_;
    std::map<read_id, pending_read> pending_reads_;
    std::map<std::uint64_t, pending_forward> pending_forwards_;
    std::uint64_t last_forward_number_ = 0;
    bool was_leader_ = false;
    instance_id last_leader_ = 0;
    bool is_output_processing_scheduled_ = false;
    bool is_stopping_ = false; ///< begin_stop() was called.
    time_point leaderless_at_; ///< When on_leaderless_ is due if there is no active leader before.
    std::function<void()> on_leaderless_;
    std::vector<instance_id> announced_voters_; ///< Instances that daemons are told to use.
    std::uint64_t instances_version_ = 0;       ///< Counts the changes of announced_voters_.
    update_batcher update_batcher_;
    encoded_update_cache update_cache_;
    failure stop_reason_;
    control_counters counters_;
    lifetime_guard lifetime_;
};

} // namespace carawayshelf
