#include "carawayshelf_lab/model_clients.hpp"

#include "carawayshelf_overload/opening_timing.hpp"

#include <algorithm>

namespace carawayshelf::lab
{

namespace
{

constexpr std::uint32_t client_network = 0x64400000;
constexpr std::uint32_t service_address = 0xC6120001;
constexpr std::uint32_t request_bytes = 400;
constexpr duration first_retransmission_delay = std::chrono::milliseconds(200);
constexpr std::uint32_t max_retransmissions = 8;
constexpr std::uint32_t packets_per_acknowledgement = 2; ///< Every second packet is acknowledged.
constexpr std::uint32_t first_port = 1024;
constexpr std::uint32_t port_count = 64000;

} // namespace

endpoint model_clients::address_of(std::size_t kind)
{
    return {service_address, static_cast<std::uint16_t>(kind + 1)};
}

std::size_t model_clients::domain_of(const model_packets::layout& packet) const
{
    const auto found = flows_.find({packet.header.source, packet.header.destination});
    return found == flows_.end() ? 0 : found->second->domain;
}

model_clients::model_clients(event_queue& events, const lab_scenario& scenario,
                             std::mt19937_64& random, policy_result& result, packet_sender send)
    : events_(events), scenario_(scenario), random_(random), result_(result),
      send_(std::move(send)),
      idle_(scenario.requests.size(),
            std::vector<std::vector<flow_pointer>>(scenario.failure_domains))
{
}

void model_clients::start()
{
    start_ = events_.now();
    for (std::size_t kind = 0; kind < scenario_.requests.size(); ++kind)
    {
        for (std::size_t domain = 0; domain < scenario_.failure_domains; ++domain)
        {
            schedule_next_request(kind, domain);
        }
    }
}

void model_clients::schedule_next_request(std::size_t kind, std::size_t domain)
{
    const double per_s = scenario_.requests[kind].per_s * rate_factor_ /
                         static_cast<double>(scenario_.failure_domains);
    if (per_s <= 0.0)
    {
        return;
    }
    std::exponential_distribution<double> pause(per_s);
    events_.schedule_after(duration(static_cast<std::int64_t>(pause(random_) * 1e6)),
                           [this, kind, domain]
                           {
                               if (events_.now() - start_ < scenario_.length)
                               {
                                   begin_request(kind, domain);
                                   schedule_next_request(kind, domain);
                               }
                           });
}

void model_clients::begin_request(std::size_t kind, std::size_t domain)
{
    const bool is_shifted = domain == 0 && scenario_.failure_domains > 1 &&
                            std::bernoulli_distribution(shifted_share_)(random_);
    const request_pointer pending = std::make_shared<request>();
    pending->kind = kind;
    pending->domain = is_shifted ? 1 : domain;
    pending->caller = scenario_.callers == 0 ? 0
                                             : pending->domain * scenario_.callers +
                                                   next_caller_++ % scenario_.callers;
    pending->started_at = events_.now();
    events_.schedule_after(scenario_.requests[kind].deadline,
                           [this, pending]
                           {
                               if (!pending->is_finished)
                               {
                                   result_.record_attempt_end(pending->kind, attempt_end::expired);
                                   result_.record_deadline(pending->kind);
                                   finish_request(pending, false);
                               }
                           });
    begin_attempt(pending);
}

model_clients::flow_pointer model_clients::take_idle_flow(std::size_t kind, std::size_t domain)
{
    std::vector<flow_pointer>& idle = idle_[kind][domain];
    const std::size_t clients = std::max(idle.size(), scenario_.requests[kind].kept_flows);
    if (idle.empty())
    {
        return nullptr;
    }
    // Chosen at random, so that all idle flows are reused.
    std::uniform_int_distribution<std::size_t> pick(0, clients - 1);
    const std::size_t client = pick(random_);
    if (client >= idle.size())
    {
        return nullptr; // The flow of this client was reset, or is in use.
    }
    std::swap(idle[client], idle.back());
    flow_pointer picked = idle.back();
    idle.pop_back();
    return picked;
}

void model_clients::begin_attempt(const request_pointer& pending)
{
    ++pending->attempts;
    const bool has_long_flows = scenario_.requests[pending->kind].has_long_flows;
    if (has_long_flows && pending->attempts == 1)
    {
        if (const flow_pointer reused = take_idle_flow(pending->kind, pending->domain))
        {
            reused->current = pending;
            reused->answer_packets = 0;
            send_request(reused, ++reused->last_request, 0);
            return;
        }
    }
    const flow_pointer flow = std::make_shared<client_flow>();
    const std::uint32_t number = next_client_number_++;
    flow->kind = pending->kind;
    flow->domain = pending->domain;
    flow->current = pending;
    const std::uint32_t address =
        client_network + (scenario_.callers == 0 ? number / port_count
                                                 : static_cast<std::uint32_t>(pending->caller) + 1);
    flow->key = {{address, static_cast<std::uint16_t>(first_port + number % port_count)},
                 address_of(pending->kind)};
    flows_[flow->key] = flow;
    result_.record_opening(events_.now() - start_);
    send_opening(flow, 0);
}

void model_clients::send_opening(const flow_pointer& flow, std::uint32_t retransmission)
{
    if (flow->is_open || !flow->current || flow->current->is_finished)
    {
        return;
    }
    model_packets::layout packet;
    packet.header.source = flow->key.client;
    packet.header.destination = flow->key.service;
    packet.header.is_opening = true;
    packet.header.acknowledged = retransmission;
    send_(flow->domain, packet);
    const duration until = retransmission < 2
                               ? opening_timing::elapsed_at_retransmission(retransmission + 1)
                               : opening_timing::attempt_timeout;
    const duration next = until - opening_timing::elapsed_at_retransmission(retransmission);
    events_.schedule_after(next,
                           [this, flow, retransmission]
                           {
                               if (flow->is_open || !flow->current)
                               {
                                   return;
                               }
                               if (retransmission < 2)
                               {
                                   send_opening(flow, retransmission + 1);
                                   return;
                               }
                               if (!flow->current->is_finished)
                               {
                                   result_.record_attempt_end(flow->kind, attempt_end::expired);
                               }
                               fail_attempt(flow, false);
                           });
}

void model_clients::send_request(const flow_pointer& flow, std::uint32_t number,
                                 std::uint32_t retransmission)
{
    if (!flow->current || flow->current->is_finished || flow->last_request != number ||
        retransmission > max_retransmissions)
    {
        return;
    }
    model_packets::layout packet;
    packet.header.source = flow->key.client;
    packet.header.destination = flow->key.service;
    packet.header.data_bytes = request_bytes;
    packet.server_flow_number = flow->server_flow_number;
    packet.request = number;
    send_(flow->domain, packet);
    events_.schedule_after(first_retransmission_delay *
                               (1 << std::min<std::uint32_t>(retransmission, 3)),
                           [this, flow, number, retransmission]
                           {
                               if (flow->answer_packets == 0)
                               {
                                   send_request(flow, number, retransmission + 1);
                               }
                           });
}

void model_clients::send_empty_packet(const flow_pointer& flow, bool is_finish)
{
    model_packets::layout packet;
    packet.header.source = flow->key.client;
    packet.header.destination = flow->key.service;
    packet.header.is_finish = is_finish;
    packet.server_flow_number = flow->server_flow_number;
    send_(flow->domain, packet);
}

void model_clients::handle_packet(const model_packets::layout& packet)
{
    const auto found = flows_.find({packet.header.destination, packet.header.source});
    if (found == flows_.end())
    {
        return;
    }
    const flow_pointer flow = found->second;
    if (packet.header.is_reset)
    {
        if (!flow->is_open && flow->current && !flow->current->is_finished)
        {
            result_.record_attempt_end(flow->kind, attempt_end::refused);
        }
        fail_attempt(flow, flow->is_open);
        return;
    }
    if (packet.header.data_bytes != 0)
    {
        handle_answer(flow, packet);
        return;
    }
    if (!flow->is_open && flow->current)
    {
        flow->is_open = true;
        flow->server_flow_number = packet.server_flow_number;
        send_request(flow, ++flow->last_request, 0);
    }
}

void model_clients::handle_answer(const flow_pointer& flow, const model_packets::layout& packet)
{
    if (!flow->current || packet.request != flow->last_request)
    {
        return;
    }
    ++flow->answer_packets;
    if (flow->answer_packets % packets_per_acknowledgement == 0)
    {
        send_empty_packet(flow, false);
    }
    if (packet.header.data_bytes == model_packets::full_packet_bytes)
    {
        return;
    }
    if (packet.is_rejected || packet.is_failure)
    {
        if (packet.is_failure)
        {
            result_.record_error(flow->kind);
        }
        fail_attempt(flow, !packet.is_rejected);
        return;
    }
    const request_pointer pending = std::exchange(flow->current, nullptr);
    finish_request(pending, true);
    if (scenario_.requests[flow->kind].has_long_flows && !packet.closes_flow)
    {
        idle_[flow->kind][flow->domain].push_back(flow);
        return;
    }
    send_empty_packet(flow, true);
    remove_flow(flow);
}

void model_clients::remove_flow(const flow_pointer& flow)
{
    flows_.erase(flow->key);
    std::vector<flow_pointer>& idle = idle_[flow->kind][flow->domain];
    idle.erase(std::remove(idle.begin(), idle.end(), flow), idle.end());
}

void model_clients::fail_attempt(const flow_pointer& flow, bool may_have_run)
{
    const request_pointer pending = std::exchange(flow->current, nullptr);
    remove_flow(flow);
    if (!pending || pending->is_finished)
    {
        return;
    }
    const lab_request_kind& kind = scenario_.requests[pending->kind];
    if (pending->attempts > kind.retries || (may_have_run && !kind.is_idempotent))
    {
        finish_request(pending, false);
        return;
    }
    begin_attempt(pending);
}

void model_clients::finish_request(const request_pointer& pending, bool is_served)
{
    if (pending->is_finished)
    {
        return;
    }
    pending->is_finished = true;
    result_.record_request(pending->kind, pending->started_at - start_,
                           events_.now() - pending->started_at, is_served, pending->caller);
}

} // namespace carawayshelf::lab
