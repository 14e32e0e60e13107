#pragma once

#include "carawayshelf_lab/event_queue.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"
#include "carawayshelf_lab/model_packets.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace carawayshelf::lab
{

/** A backend server with slots, a short queue and a cold start, which can be made to run slowly or
    to fail requests. Not thread-safe. */
class model_server
{
public:
    using packet_sender = std::function<void(const model_packets::layout&)>;

    /** Receives the age of the server when it got a request, and the time until its answer. */
    using request_observer = std::function<void(duration age, duration time)>;

    /** The references must outlive the server.
        @param requests  kinds of request, by the port of the route minus 1
        @param send      receives what the server sends */
    model_server(event_queue& events, const lab_service& service, std::mt19937_64& random,
                 const std::vector<lab_request_kind>& requests, packet_sender send);

    /** Handles a packet of a client. A packet of an unknown flow is returned to the agent. */
    void handle_packet(const model_packets::layout& packet);

    /** Starts or restarts the server: it holds no flows and is cold. */
    void start();

    /** Stops at once, without closing flows or notifying the agent. */
    void stop();

    /** A server that drains closes each flow with its next answer. */
    void set_draining(bool is_draining)
    {
        is_draining_ = is_draining;
    }

    /** Multiplies service times by a factor. */
    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

    /** A failing server answers each request with a failure. */
    void set_failing(bool is_failing)
    {
        set_failing_if([is_failing](const model_packets::layout& /*request*/)
                       { return is_failing; });
    }

    /** Answers the requests for which a function returns true with a failure. */
    void set_failing_if(std::function<bool(const model_packets::layout& request)> is_failure)
    {
        is_failure_ = std::move(is_failure);
    }

    /** Accepts this share of the requests (0 to 1) without ever running or answering them. */
    void set_silent_share(double share)
    {
        silent_share_ = share;
    }

    /** From now on, the observer learns of each answered request. */
    void set_request_observer(request_observer observer)
    {
        observer_ = std::move(observer);
    }

    bool is_up() const
    {
        return is_up_;
    }

    bool is_draining() const
    {
        return is_draining_;
    }

    /** Time until the server is warm; zero if it is. */
    duration remaining_cold_time() const;

    /** Incremented at each start. */
    std::uint64_t incarnation() const
    {
        return incarnation_;
    }

    /** Requests that the server has started to run, in all incarnations. */
    std::uint64_t requests_run() const
    {
        return requests_run_;
    }

private:
    struct server_flow
    {
        std::uint32_t number = 0;
        std::uint32_t last_request = 0;
    };

    struct waiting_request
    {
        model_packets::layout packet;
        time_point received_at;
    };

    void handle_request(const model_packets::layout& packet, server_flow& flow);
    void run_request(const waiting_request& request);
    void finish_request(const waiting_request& request, bool is_failure);
    void answer(const model_packets::layout& packet, std::uint32_t bytes, bool is_failure,
                bool is_rejected);
    duration draw_service_time(const lab_request_kind& kind);
    const lab_request_kind& kind_of(const model_packets::layout& packet) const;

    event_queue& events_;
    const lab_service& service_;
    std::mt19937_64& random_;
    const std::vector<lab_request_kind>& requests_;
    packet_sender send_;
    std::unordered_map<packet_flow, server_flow, packet_flow_hasher> flows_;
    std::deque<waiting_request> queue_;
    request_observer observer_;
    std::uint32_t busy_ = 0;
    std::uint32_t last_flow_number_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t requests_run_ = 0;
    time_point started_;
    double slowdown_ = 1.0;
    bool is_up_ = false;
    bool is_draining_ = false;
    std::function<bool(const model_packets::layout& request)> is_failure_;
    double silent_share_ = 0.0;
};

} // namespace carawayshelf::lab
