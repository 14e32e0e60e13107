#pragma once

#include "carawayshelf_io/decision_log.hpp"
#include "carawayshelf_io/packet_sockets.hpp"
#include "carawayshelf_io/settings.hpp"
#include "carawayshelf_io/wakeup_event.hpp"
#include "carawayshelf_packets/packet_agent.hpp"

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <thread>

namespace carawayshelf
{

/** The traffic thread of a packet agent: owns the packet_agent and its sockets. */
class packet_agent_worker
{
public:
    using command = std::function<void(time_point, packet_agent&)>;

    packet_agent_worker(const agent_daemon_settings& settings, const packet_format& format,
                        packet_counters& counters);
    ~packet_agent_worker();

    /** Opens the sockets and starts the thread. Errors: invalid_settings. */
    failure start();

    /** Queues a command for the traffic thread, which runs it before it handles any datagram that
        arrives later. Thread-safe. */
    void post(command task);

private:
    void run();
    void run_commands(time_point instant);
    bool receive_envelopes(time_point instant);
    bool receive_server_packets(time_point instant);

    agent_daemon_settings settings_;
    packet_sockets sockets_;
    decision_log decisions_;
    packet_agent core_;
    packet_counters& counters_;
    wakeup_event wakeup_;
    receive_batch received_;
    tbb::concurrent_queue<command> commands_;
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

} // namespace carawayshelf
