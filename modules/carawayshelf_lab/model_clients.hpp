#pragma once

#include "carawayshelf_lab/event_queue.hpp"
#include "carawayshelf_lab/lab_report.hpp"
#include "carawayshelf_lab/lab_scenario.hpp"
#include "carawayshelf_lab/model_packets.hpp"

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace carawayshelf::lab
{

/** The clients of all failure domains. They send requests at random times, each in a new flow or in
    a reused one, retransmit packets, retry failed attempts, and give up at the deadline. Not
    thread-safe. */
class model_clients
{
public:
    /** Receives the packets that the clients of a failure domain send. */
    using packet_sender = std::function<void(std::size_t domain, const model_packets::layout&)>;

    model_clients(event_queue& events, const lab_scenario& scenario, std::mt19937_64& random,
                  policy_result& result, packet_sender send);

    /** Starts sending requests; it ends with the scenario's length. */
    void start();

    /** Handles a packet that is addressed to a client. Packets of unknown flows are ignored. */
    void handle_packet(const model_packets::layout& packet);

    /** Multiplies the scenario's request rates by a factor. */
    void set_rate_factor(double factor)
    {
        rate_factor_ = factor;
    }

    /** Sends a share of the first failure domain's requests in the second one. */
    void set_shifted_share(double share)
    {
        shifted_share_ = share;
    }

    /** Failure domain of the client that sent a packet. The first one if its flow has ended. */
    std::size_t domain_of(const model_packets::layout& packet) const;

    /** Service address of a kind of request. */
    static endpoint address_of(std::size_t kind);

private:
    struct request
    {
        std::size_t kind = 0;
        std::size_t domain = 0;
        std::size_t caller = 0; ///< Among those of all failure domains.
        time_point started_at;
        std::uint32_t attempts = 0;
        bool is_finished = false;
    };

    using request_pointer = std::shared_ptr<request>;

    /** State of a flow at its client. */
    struct client_flow
    {
        std::size_t kind = 0;
        std::size_t domain = 0;
        packet_flow key;
        bool is_open = false;
        std::uint32_t server_flow_number = 0;
        std::uint32_t last_request = 0;
        std::uint32_t answer_packets = 0; ///< Packets received of the current answer.
        request_pointer current;
    };

    using flow_pointer = std::shared_ptr<client_flow>;

    void schedule_next_request(std::size_t kind, std::size_t domain);
    void begin_request(std::size_t kind, std::size_t domain);
    void begin_attempt(const request_pointer& pending);
    flow_pointer take_idle_flow(std::size_t kind, std::size_t domain);
    void send_opening(const flow_pointer& flow, std::uint32_t retransmission);
    void send_request(const flow_pointer& flow, std::uint32_t number, std::uint32_t retransmission);
    void send_empty_packet(const flow_pointer& flow, bool is_finish);
    void handle_answer(const flow_pointer& flow, const model_packets::layout& packet);
    void fail_attempt(const flow_pointer& flow, bool may_have_run);
    void finish_request(const request_pointer& pending, bool is_served);
    void remove_flow(const flow_pointer& flow);

    event_queue& events_;
    const lab_scenario& scenario_;
    std::mt19937_64& random_;
    policy_result& result_;
    packet_sender send_;
    time_point start_;
    double rate_factor_ = 1.0;
    double shifted_share_ = 0.0;
    std::uint32_t next_client_number_ = 0;
    std::size_t next_caller_ = 0;
    std::unordered_map<packet_flow, flow_pointer, packet_flow_hasher> flows_;
    std::vector<std::vector<std::vector<flow_pointer>>>
        idle_; ///< By kind of request and failure domain.
};

} // namespace carawayshelf::lab
