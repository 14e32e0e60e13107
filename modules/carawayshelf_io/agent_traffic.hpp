#pragma once

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_io/server_registration.hpp"
#include "carawayshelf_io/settings.hpp"
#include "carawayshelf_io/udp_socket.hpp"

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** Status that the traffic thread publishes for the control thread. */
struct agent_status
{
    member_state state = member_state::cold;
    bool is_idle = true;
    bool is_unconfirmed = false; ///< The agent serves nothing until control sends a table.
    std::size_t flows = 0;
    std::size_t running = 0; ///< Requests that the backend server is processing.
    std::vector<released_bucket> released;
};

/** The traffic thread of an agent: drives an agent_core with sockets and timers, and handles the
    registration of the backend server. Public functions are thread-safe except where noted. */
class agent_traffic : public agent_port
{
public:
    using registration_handler =
        std::function<void(registration_event event, const std::string& service)>;

    /** @param on_registration  called on the traffic thread */
    agent_traffic(const agent_daemon_settings& settings, agent_counters& counters,
                  registration_handler on_registration);
    ~agent_traffic() override;

    /** Opens the sockets and starts the thread. Errors: invalid_settings. */
    failure start();

    /** Restores the state of the previous incarnation. Precondition: start() was not called yet.
        Not thread-safe. */
    void restore(const agent_restart_state& state);

    /** Stops admitting requests and passes the state to the handler once no request is running or
        queued. The handler is called on the traffic thread, which then ends. */
    void export_state_when_idle(std::function<void(const agent_restart_state&)> done);

    /** Applies a table. @param member  this agent's own member id, zero while it is none */
    void set_table(std::shared_ptr<const subscriber_table> table, const std::string& service,
                   member_id member);

    /** Starts a new epoch, dropping all flows. */
    void start_epoch();

    void set_draining(bool draining);

    agent_status status() const;

    /** Generation of the table that the traffic thread has applied. */
    generation table_generation() const
    {
        return table_generation_;
    }

    /** Stops and joins the thread. */
    void stop();

private:
    void send_envelope(const endpoint& to, const envelope& header,
                       std::string_view datagram) override;
    void send_to_server(const flow_key& key, std::string_view datagram) override;
    void close_flow(const flow_key& key) override;

    void post(std::function<void()> task);
    void run();
    void run_tasks();
    void handle_event(int fd);
    void receive_envelopes();
    void receive_registrations();
    void receive_from_server(int fd);
    void flush_envelopes();
    void publish_status(time_point now);
    void make_core();
    void export_state_if_idle();

    agent_daemon_settings settings_;
    agent_counters& counters_;
    registration_handler on_registration_;
    std::unique_ptr<agent_core> core_;
    server_registration registration_;
    bool is_server_up_ = false;
    bool is_draining_ = false;
    std::function<void(const agent_restart_state&)> on_exported_;
    std::shared_ptr<const subscriber_table> table_;
    std::string service_;
    member_id member_ = 0;

    unique_fd epoll_;
    unique_fd wakeup_fd_;
    unique_fd data_socket_;
    unique_fd announce_socket_;
    std::unordered_map<flow_key, unique_fd> flow_sockets_;
    std::unordered_map<int, flow_key> flow_by_fd_;
    receive_batch received_;
    send_batch envelopes_;
    std::vector<std::string> envelope_bodies_;
    tbb::concurrent_queue<std::function<void()>> tasks_;
    std::atomic<generation> table_generation_{0};
    std::atomic<bool> is_stopping_{false};
    mutable std::mutex status_mutex_;
    agent_status status_;
    time_point next_status_;
    std::thread thread_;
};

} // namespace carawayshelf
