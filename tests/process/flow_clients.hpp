#pragma once

#include "carawayshelf_io/unique_fd.hpp"
#include "flow_judge.hpp"
#include "packet_routers.hpp"
#include "platform_packet.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayshelf::process_tests
{

/** Clients of one address with long flows: each opens a flow, sends requests with pauses between
    them, retransmits what isn't answered, and closes the flow in the end. Not thread-safe. */
class flow_clients
{
public:
    struct options
    {
        endpoint from;      ///< Address and port of the clients' socket.
        std::string domain; ///< Failure domain of the balancers that they reach; empty for all.
        std::vector<endpoint> services;
        std::size_t concurrent_flows = 60;
        double max_flow_s = 30.0;
        double max_pause_s = 2.5;
        /** Longer than flow_judge::max_misdirection, so that misdirected flows are noticed. */
        duration request_deadline = std::chrono::seconds(5);
        double short_flow_share = 0.0;  ///< Share of flows that end after their first answer.
        double late_copy_share = 0.02;  ///< Share of opening packets that arrive late.
        double late_packet_share = 0.0; ///< Share of the other packets that arrive late.
        double max_packet_lateness_s = 0.5;
        std::uint32_t port_count = 50000; ///< Ports of the clients; used in turn.
        std::uint64_t seed = 1;
    };

    struct counters
    {
        std::uint64_t opened = 0;
        std::uint64_t not_opened = 0;
        std::uint64_t answers = 0;
        std::uint64_t unanswered = 0; ///< Requests without an answer at their deadline.
    };

    /** Precondition: the address is free. */
    flow_clients(options client_options, const packet_routers& routers, flow_judge& judge);

    int fd() const
    {
        return socket_.get();
    }

    /** Handles the packets that have arrived, and sends those that are due. */
    void run(time_point now);

    const counters& totals() const
    {
        return totals_;
    }

private:
    struct flow
    {
        endpoint service;
        bool is_open = false;
        bool is_waiting = false; ///< For the answer to a request.
        time_point started_at;   ///< Of the opening, and then of the current request.
        time_point closes_at;
        bool is_short = false; ///< Ends after its first answer.
        time_point due;        ///< When the next packet is sent.
        int sent = 0;          ///< Number of the next retransmission.
        std::uint64_t request = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t packets = 0;
    };

    using flow_map = std::map<std::uint16_t, flow>;

    void handle(time_point now, const platform_packet& packet);
    void start_flow(time_point now);
    double lateness_s(std::uint8_t flags);
    void close(time_point now, std::uint16_t port, flow& known);
    /** Sends what is due. Returns false if the flow is over. */
    bool act(time_point now, std::uint16_t port, flow& known);
    bool act_on_opening(time_point now, std::uint16_t port, flow& known);
    void send(time_point now, std::uint16_t port, flow& known, std::uint8_t flags,
              std::uint32_t acknowledged, const std::string& data);
    void send_delayed(time_point now);
    void end_flow(flow_map::iterator item);
    packet_flow key_of(std::uint16_t port, const flow& known) const;
    duration random_duration(double max_s);
    double random_share();

    options options_;
    const packet_routers& routers_;
    flow_judge& judge_;
    unique_fd socket_;
    std::mt19937_64 random_;
    flow_map flows_;
    std::multimap<time_point, std::pair<endpoint, std::string>> delayed_;
    std::uint16_t next_port_;
    counters totals_;
};

} // namespace carawayshelf::process_tests
