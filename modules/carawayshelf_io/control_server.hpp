#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_consensus/consensus_core.hpp"
#include "carawayshelf_consensus/voter_renewal.hpp"
#include "carawayshelf_io/control_protocol.hpp"
#include "carawayshelf_io/encoded_updates.hpp"
#include "carawayshelf_io/file_log_store.hpp"
#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/lease_table.hpp"
#include "carawayshelf_io/lifetime_guard.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/peer_links.hpp"
#include "carawayshelf_io/platform_binding.hpp"
#include "carawayshelf_io/restart_state_store.hpp"
#include "carawayshelf_io/settings.hpp"
#include "carawayshelf_io/update_gatherer.hpp"

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
    std::atomic<std::uint64_t> broken_frames{0};
    std::atomic<std::uint64_t> syncs{0};
    std::atomic<std::uint64_t> storage_failures{0};
    std::atomic<std::uint64_t> generation{0};
    std::atomic<std::uint64_t> term{0};
    std::atomic<std::uint64_t> is_leader{0};
};

/** One control instance: the consensus core, its disk, its peers, its subscribers and operators.
    Everything runs on the io_context's one thread. */
class control_server : public operator_api
{
public:
    control_server(boost::asio::io_context& io, const control_settings& settings);

    /** Loads the data folder and starts to listen.
        Errors: storage_failed, storage_corrupt, invalid_settings. */
    failure start();

    void replace(const traffic_configuration& configuration, operator_result_handler done) override;
    void read(operator_result_handler done) override;
    void set_domain_out(const std::string& domain, bool out, operator_result_handler done) override;

    /** Whether requests of operators or daemons wait for their outcome here. */
    bool has_requests_under_way() const
    {
        return !proposals_.empty() || !reads_.empty() || !forwarded_.empty();
    }

    /** Why it stopped by itself, if it did. */
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

    /** Any connection, incoming or outgoing. */
    struct open_connection
    {
        connection_pointer connection;
        time_point heard;
    };

    /** A daemon that gets updates on its connection. */
    struct subscriber
    {
        connection_pointer connection;
        daemon_report report;
        std::string service;
        generation sent = 0;
        time_point heard;
    };

    struct pending_proposal
    {
        term_number term = 0;
        std::uint64_t number = 0;
        reply_handler done;
    };

    struct pending_request
    {
        std::uint64_t number = 0;
        reply_handler done;
        time_point asked;
        connection_pointer via;
    };

    struct pending_read
    {
        buffers::request_object request;
        reply_handler done;
    };

    // Connections, disk and consensus, in control_server.cpp.
    void accept_next();
    void start_connection(const connection_pointer& connection);
    void drop_connection(const connection_pointer& connection);
    void handle_frame(const connection_pointer& connection, frame& received);
    failure found_cluster_if_first();
    failure load_store();
    void suspend_storage(const failure& why);
    void resume_storage();
    void maintain_peers();
    void learn_peer(instance_slot slot);
    endpoint address_of(instance_slot slot) const;
    bool is_confirmed() const;
    void answer_probe(const connection_pointer& connection, std::uint64_t number);
    void send_hello(const connection_pointer& connection);
    void handle_hello(const buffers::peer_hello_object& hello);
    void send_message(const message& value);
    connection_pointer connection_of(instance_id peer) const;
    void schedule_pump();
    void pump();
    failure store_output(const consensus_output& output);
    void apply_committed(const log_record& record);
    void take_snapshot_if_due();
    void stop(const failure& why);
    void tick_consensus();
    void on_timer();
    void on_lease_timer();

    // Requests of operators and daemons, in control_server_requests.cpp.
    void order(const change& edit, operator_result_handler done);
    static reply_handler outcome_of(operator_result_handler done);
    void handle_request(const buffers::request_object& request, reply_handler done);
    void lead_request(const buffers::request_object& request, reply_handler done);
    void propose(const buffers::request_object& request, reply_handler done);
    void propose_change(const change& edit, std::uint64_t number, reply_handler done);
    void finish_proposal(const log_record& record, const change_result& result);
    void fail_proposals_after_leadership();
    void bootstrap(const buffers::request_object& request, const reply_handler& done);
    void forward(const buffers::request_object& request, reply_handler done);
    void handle_forwarded_reply(reply_pointer reply);
    void fail_forwarded(const std::function<bool(const pending_request&)>& picks, const char* why);
    reply_pointer read_reply(const buffers::request_object& request);
    void fill_status(buffers::status_object& status);

    // Daemons that get updates, in control_server_subscribers.cpp.
    void handle_subscription(const connection_pointer& connection,
                             const buffers::subscribe_object& subscription);
    void handle_report(const connection_pointer& connection,
                       const buffers::daemon_lease_object& packed);
    void handle_parcels(const connection_pointer& connection, const frame& received);
    void send_due_updates();
    void send_update(subscriber& to);
    std::string encode_update(generation from, const std::string& only) const;

    boost::asio::io_context& io_;
    control_settings settings_;
    std::unique_ptr<file_log_store> store_;
    bool is_storing_ = false; ///< The last attempt to use the disk succeeded.
    time_point storage_retry_at_;
    bool has_been_current_ = false; ///< Since the log was loaded.
    std::unique_ptr<consensus_core> core_;
    cluster_state state_;
    voter_renewal renewal_;
    lease_table leases_;
    restart_state_store parked_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer lease_timer_;
    peer_links peers_;
    std::map<frame_connection*, open_connection> connections_;
    std::map<frame_connection*, subscriber> subscribers_;
    std::map<log_index, pending_proposal> proposals_;
    std::map<read_ticket, pending_read> reads_;
    std::map<std::uint64_t, pending_request> forwarded_;
    std::uint64_t last_forwarded_ = 0;
    bool was_leader_ = false;
    instance_id last_leader_ = 0;
    bool is_pump_scheduled_ = false;
    update_gatherer updates_;
    encoded_updates encoded_;
    failure stop_reason_;
    control_counters counters_;
    lifetime_guard life_;
};

} // namespace carawayshelf
