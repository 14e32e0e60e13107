#pragma once

#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_io/confirmation_timeout.hpp"
#include "carawayshelf_io/control_protocol.hpp"
#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/instance_rotation.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayshelf
{

/** A daemon's connection to the control plane: subscribes at one control instance, sends
    heartbeats, and switches to the next instance when the connection is lost or the instance has no
    contact with a leader. All calls and handlers run on the io_context's thread. */
class control_client
{
public:
    using update_handler = std::function<void(const table_update&)>;
    using result_handler = std::function<void(error_kind, const change_result&)>;
    using report_source = std::function<daemon_report()>;

    /** @param asked_at  when the heartbeat was sent that control answered */
    using confirmation_handler = std::function<void(time_point asked_at)>;

    /** @param instances  the configured control instances; at least one
        @param report     called for each heartbeat; returns the report to send
        @param on_update  called with each update, in the order in which they arrive */
    control_client(boost::asio::io_context& io, std::vector<endpoint> instances,
                   report_source report, update_handler on_update);

    void start();

    /** Sets a handler that is called each time the control instance confirms that it has contact
        with a leader, after all updates that it sent before. */
    void set_confirmation_handler(confirmation_handler on_confirmed);

    /** Sets a handler that is called when no control instance has confirmed contact with a leader
        for a second, and every second from then on until one does. */
    void set_unreachable_handler(std::function<void()> on_unreachable);

    /** Replaces the configured control instances. An open connection stays. */
    void set_configured_instances(const std::vector<endpoint>& instances);

    /** Sets the service that an agent needs updates for, and subscribes again if connected. */
    void set_service(const std::string& service);

    /** Sends a heartbeat immediately, for instance after applying a new generation. */
    void send_report();

    /** Proposes a change. The handler gets no_leader when there is no connection, and not_confirmed
        when the connection is lost before the reply. */
    void propose(const change& edit, result_handler done);

    /** Stores an agent's state for its restart at the connected control instance only. The handler
        gets true when the instance acknowledges it, and false if there is no connection or the
        connection is lost first. */
    void store_restart_state(const std::string& name, const std::string& content,
                             std::function<void(bool)> done);

    /** Whether a connection to a control instance is open. */
    bool is_connected() const
    {
        return connection_ != nullptr && connection_->is_open();
    }

private:
    void connect();
    void reconnect_after(std::chrono::milliseconds delay);
    void on_connected(boost::asio::ip::tcp::socket socket);
    void subscribe();
    void handle_frame(frame& received);
    void handle_disconnect();
    void close_if_timed_out();
    void call_if_unreachable();
    static void add_probe(frame& sent);
    void start_confirmation_timer();
    void leave_if_unconfirmed();
    void schedule_heartbeat();

    boost::asio::io_context& io_;
    instance_rotation instances_;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting_; ///< The current connection attempt.
    time_point last_frame_at_;                                 ///< Last frame on this connection.
    time_point last_confirmed_at_; ///< Last confirmation of leader contact.
    time_point unreachable_at_;    ///< When on_unreachable_ is due if nothing is confirmed before.
    confirmation_handler on_confirmed_;
    std::function<void()> on_unreachable_;
    report_source report_;
    update_handler on_update_;
    std::string service_;
    generation held_generation_ = 0; ///< Newest generation received for service_.
    bool is_confirmed_ = false;      ///< The instance has confirmed leader contact.
    /** List of instances from this connection that waits for the confirmation. */
    std::optional<std::vector<endpoint>> announced_instances_;
    confirmation_timeout confirmation_timeout_;
    std::shared_ptr<frame_connection> connection_;
    boost::asio::steady_timer retry_timer_;
    boost::asio::steady_timer heartbeat_timer_;
    boost::asio::steady_timer confirmation_timer_;
    std::uint64_t last_request_number_ = 0;
    std::map<std::uint64_t, result_handler> pending_proposals_;
    std::function<void(bool)> on_state_stored_;
};

} // namespace carawayshelf
