#pragma once

#include "carawayshelf_io/unique_fd.hpp"
#include "daemon_processes.hpp"
#include "flow_judge.hpp"
#include "platform_packet.hpp"

#include <atomic>
#include <deque>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawayshelf::process_tests
{

/** A backend server of the platform beside an agent: holds flows, answers their requests, returns
    packets of other flows, and announces itself by HTTP. Packets are handled by the caller's
   thread; announcements are sent by a thread of its own. */
class backend_server
{
public:
    /** Starts the server.
        Precondition: its address is free.
        @param max_flows  opening packets beyond this number of flows are returned */
    backend_server(const machine& at, std::string id, std::size_t max_flows, flow_judge& judge);
    ~backend_server();

    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;

    const machine& at() const
    {
        return at_;
    }

    const std::string& id() const
    {
        return id_;
    }

    int fd() const
    {
        return socket_.get();
    }

    /** Handles the packets that have arrived, and the requests that are done. */
    void run(time_point now);

    /** Announces draining from now on; each flow is closed after its next response. Thread-safe. */
    void drain()
    {
        is_draining_ = true;
    }

    /** Whether draining was acknowledged. Thread-safe. */
    bool is_draining_acknowledged() const
    {
        return is_draining_acknowledged_;
    }

    /** Ends with its flows. */
    void end();

    /** Announces the departure of the server. Thread-safe. */
    void deregister() const;

    bool has_ended() const
    {
        return has_ended_;
    }

    std::size_t flow_count() const
    {
        return flows_.size();
    }

private:
    struct flow
    {
        std::uint32_t first_sequence = 0; ///< Of the packet that accepted the flow.
        bool is_open = false;
        std::uint64_t last_request = 0;    ///< Number of the last request that was answered.
        std::uint64_t running_request = 0; ///< Number of the last request that was begun.
        time_point last_used;
    };

    struct job
    {
        packet_flow flow;
        time_point done_at;
    };

    void handle(time_point now, const platform_packet& packet);
    void handle_opening(time_point now, const platform_packet& packet);
    bool answer_for_ended_flow(const platform_packet& packet);
    void return_packet(platform_packet packet);
    void close_idle_flows(time_point now);
    void handle_request(time_point now, const packet_flow& key, flow& known,
                        const platform_packet& packet);
    void start_jobs(time_point now);
    void answer(const packet_flow& key, flow& known);
    void reply(const packet_flow& key, std::uint8_t flags, std::uint32_t sequence,
               const std::string& data);
    void send_to_agent(const std::string& bytes);
    void announce();
    void listen();
    endpoint announcements_to() const;

    machine at_;
    std::string id_;
    std::size_t max_flows_;
    std::int64_t started_at_ms_;
    flow_judge& judge_;
    unique_fd socket_;
    unique_fd listener_; ///< For health checks; connections are never accepted.
    std::unordered_map<packet_flow, flow, packet_flow_hasher> flows_;
    std::unordered_set<packet_flow, packet_flow_hasher> ended_flows_;
    std::deque<job> waiting_;
    std::vector<job> running_;
    std::uint32_t last_sequence_; ///< Differs between servers, as if it were random.
    bool has_ended_ = false;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_draining_{false};
    std::atomic<bool> is_draining_acknowledged_{false};
    std::thread announcer_;
};

} // namespace carawayshelf::process_tests
