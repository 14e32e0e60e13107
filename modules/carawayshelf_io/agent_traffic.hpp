#pragma once

#include "carawayshelf_admission/agent_core.hpp"
#include "carawayshelf_io/registration_desk.hpp"
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

/** What the traffic thread tells the control thread. */
struct agent_snapshot
{
    member_state state = member_state::cold;
    bool is_quiet = true;
    bool is_unconfirmed = false; ///< It was frozen and needs a table from control.
    std::size_t flows = 0;
    std::size_t running = 0;
    std::vector<released_bucket> released;
};

/** The traffic thread of an agent: sockets and timers round an agent_core, and the desk where the
    backend server registers. Public calls are thread-safe. */
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

    /** Goes on where a sealed incarnation stopped. Precondition: start() was not called yet. */
    void restore(const agent_restart_state& seal);

    /** Stops to let requests in, and gives a seal out once nothing runs. The handler is called on
        the traffic thread, which does nothing more for callers. */
    void seal_when_quiet(std::function<void(const agent_restart_state&)> done);

    /** Puts a table in force; the member is this agent's own number, or zero. */
    void set_table(std::shared_ptr<const subscriber_table> table, const std::string& service,
                   member_id self);

    /** Starts a new epoch: every flow is dropped. */
    void start_epoch();

    void set_draining(bool draining);

    agent_snapshot snapshot() const;

    /** Generation that the traffic thread has put in force. */
    generation held() const
    {
        return held_;
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
    void publish_snapshot(time_point now);
    void make_core();
    void seal_if_quiet();

    agent_daemon_settings settings_;
    agent_counters& counters_;
    registration_handler on_registration_;
    std::unique_ptr<agent_core> core_;
    registration_desk desk_;
    bool is_server_up_ = false;
    bool is_draining_ = false;
    std::function<void(const agent_restart_state&)> on_sealed_;
    std::shared_ptr<const subscriber_table> table_;
    std::string service_;
    member_id self_ = 0;

    unique_fd epoll_;
    unique_fd wake_;
    unique_fd data_socket_;
    unique_fd announce_socket_;
    std::unordered_map<flow_key, unique_fd> flow_sockets_;
    std::unordered_map<int, flow_key> flow_of_socket_;
    receive_batch received_;
    send_batch envelopes_;
    std::vector<std::string> bodies_;
    tbb::concurrent_queue<std::function<void()>> tasks_;
    std::atomic<generation> held_{0};
    std::atomic<bool> is_stopping_{false};
    mutable std::mutex snapshot_mutex_;
    agent_snapshot snapshot_;
    time_point next_snapshot_;
    std::thread thread_;
};

} // namespace carawayshelf
