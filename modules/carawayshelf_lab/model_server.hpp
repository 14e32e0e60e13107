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

/** A backend server: slots, a short queue, a cold time, and ways to misbehave. Not thread-safe. */
class model_server
{
public:
    using packet_sender = std::function<void(const model_packets::layout&)>;

    /** @param work  of a request by the route's port
        @param send  takes what the server sends */
    model_server(event_queue& events, const lab_service& service, std::mt19937_64& random,
                 const std::vector<lab_requests>& requests, packet_sender send);

    void handle_packet(const model_packets::layout& packet);

    /** Starts anew: holds no flow, and is cold. */
    void start();

    /** Ends without a word. */
    void stop();

    void set_draining(bool is_draining)
    {
        is_draining_ = is_draining;
    }

    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

    void set_failing(bool is_failing)
    {
        is_failing_ = is_failing;
    }

    bool is_up() const
    {
        return is_up_;
    }

    bool is_draining() const
    {
        return is_draining_;
    }

    /** How much longer it is cold. */
    duration remaining_cold_time() const;

    /** Grows with each start. */
    std::uint64_t incarnation() const
    {
        return incarnation_;
    }

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

    void handle_request(const model_packets::layout& packet, server_flow& flow);
    void run_request(const model_packets::layout& packet);
    void finish_request(const model_packets::layout& packet, bool is_failure);
    void answer(const model_packets::layout& packet, std::uint32_t bytes, bool is_failure,
                bool is_rejected);
    duration draw_service_time(const lab_requests& requests);
    const lab_requests& requests_of(const model_packets::layout& packet) const;

    event_queue& events_;
    const lab_service& service_;
    std::mt19937_64& random_;
    const std::vector<lab_requests>& requests_;
    packet_sender send_;
    std::unordered_map<packet_flow, server_flow, packet_flow_hasher> flows_;
    std::deque<model_packets::layout> queue_;
    std::uint32_t busy_ = 0;
    std::uint32_t last_flow_number_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t requests_run_ = 0;
    time_point started_;
    double slowdown_ = 1.0;
    bool is_up_ = false;
    bool is_draining_ = false;
    bool is_failing_ = false;
};

} // namespace carawayshelf::lab
