#include "carawayshelf_lab/model_clients.hpp"

#include "carawayshelf_packets/opening_timing.hpp"

#include <algorithm>

namespace carawayshelf::lab
{

namespace
{

constexpr std::uint32_t client_network = 0x64400000;
constexpr std::uint32_t service_address = 0xC6120001;
constexpr std::uint32_t request_bytes = 400;
constexpr duration first_repeat = std::chrono::milliseconds(200);
constexpr std::uint32_t most_repeats = 8;
constexpr std::uint32_t acknowledged_packets = 2; ///< Each second packet is acknowledged.
constexpr std::uint32_t first_port = 1024;
constexpr std::uint32_t ports = 64000;

} // namespace

endpoint model_clients::address_of(std::size_t requests)
{
    return {service_address, static_cast<std::uint16_t>(requests + 1)};
}

model_clients::model_clients(event_queue& events, const lab_scenario& scenario,
                             std::mt19937_64& random, policy_result& result, sender send)
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
            ask_next(kind, domain);
        }
    }
}

void model_clients::ask_next(std::size_t kind, std::size_t domain)
{
    const double per_s =
        scenario_.requests[kind].per_s * rate_ / static_cast<double>(scenario_.failure_domains);
    if (per_s <= 0.0)
    {
        return;
    }
    std::exponential_distribution<double> pause(per_s);
    events_.after(duration(static_cast<std::int64_t>(pause(random_) * 1e6)),
                  [this, kind, domain]
                  {
                      if (events_.now() - start_ < scenario_.length)
                      {
                          begin(kind, domain);
                          ask_next(kind, domain);
                      }
                  });
}

void model_clients::begin(std::size_t kind, std::size_t domain)
{
    const bool moves = domain == 0 && scenario_.failure_domains > 1 &&
                       std::bernoulli_distribution(shift_)(random_);
    const request_pointer asked = std::make_shared<request>();
    asked->kind = kind;
    asked->domain = moves ? 1 : domain;
    asked->began = events_.now();
    events_.after(scenario_.requests[kind].deadline, [this, asked] { finish(asked, false); });
    begin_try(asked);
}

model_clients::flow_pointer model_clients::idle_flow(std::size_t kind, std::size_t domain)
{
    std::vector<flow_pointer>& idle = idle_[kind][domain];
    if (idle.empty())
    {
        return nullptr;
    }
    // Any of them, so that all are used.
    std::uniform_int_distribution<std::size_t> pick(0, idle.size() - 1);
    std::swap(idle[pick(random_)], idle.back());
    flow_pointer taken = idle.back();
    idle.pop_back();
    return taken;
}

void model_clients::begin_try(const request_pointer& asked)
{
    ++asked->tries;
    const bool has_long_flows = scenario_.requests[asked->kind].has_long_flows;
    if (has_long_flows && asked->tries == 1)
    {
        if (const flow_pointer known = idle_flow(asked->kind, asked->domain))
        {
            known->current = asked;
            known->packets = 0;
            send_request(known, ++known->last_request, 0);
            return;
        }
    }
    const flow_pointer flow = std::make_shared<client_flow>();
    const std::uint32_t number = last_port_++;
    flow->kind = asked->kind;
    flow->domain = asked->domain;
    flow->current = asked;
    flow->ends = {
        {client_network + number / ports, static_cast<std::uint16_t>(first_port + number % ports)},
        address_of(asked->kind)};
    flows_[flow->ends] = flow;
    send_opening(flow, 0);
}

void model_clients::send_opening(const flow_pointer& flow, std::uint32_t copy)
{
    if (flow->is_open || !flow->current || flow->current->is_over)
    {
        return;
    }
    model_packets::layout packet;
    packet.head.source = flow->ends.client;
    packet.head.destination = flow->ends.service;
    packet.head.is_opening = true;
    packet.head.acknowledged = copy;
    send_(flow->domain, packet);
    const duration until = copy < 2 ? opening_timing::elapsed_at_retransmission(copy + 1)
                                    : opening_timing::attempt_timeout;
    const duration next = until - opening_timing::elapsed_at_retransmission(copy);
    events_.after(next,
                  [this, flow, copy]
                  {
                      if (flow->is_open || !flow->current)
                      {
                          return;
                      }
                      if (copy < 2)
                      {
                          send_opening(flow, copy + 1);
                          return;
                      }
                      fail_try(flow, false);
                  });
}

void model_clients::send_request(const flow_pointer& flow, std::uint32_t number,
                                 std::uint32_t repeat)
{
    if (!flow->current || flow->current->is_over || flow->last_request != number ||
        repeat > most_repeats)
    {
        return;
    }
    model_packets::layout packet;
    packet.head.source = flow->ends.client;
    packet.head.destination = flow->ends.service;
    packet.head.data_bytes = request_bytes;
    packet.server_number = flow->server_number;
    packet.request = number;
    send_(flow->domain, packet);
    events_.after(first_repeat * (1 << std::min<std::uint32_t>(repeat, 3)),
                  [this, flow, number, repeat]
                  {
                      if (flow->packets == 0)
                      {
                          send_request(flow, number, repeat + 1);
                      }
                  });
}

void model_clients::send_head(const flow_pointer& flow, bool is_finish)
{
    model_packets::layout packet;
    packet.head.source = flow->ends.client;
    packet.head.destination = flow->ends.service;
    packet.head.is_finish = is_finish;
    packet.server_number = flow->server_number;
    send_(flow->domain, packet);
}

void model_clients::take(const model_packets::layout& packet)
{
    const auto found = flows_.find({packet.head.destination, packet.head.source});
    if (found == flows_.end())
    {
        return;
    }
    const flow_pointer flow = found->second;
    if (packet.head.is_reset)
    {
        fail_try(flow, flow->is_open);
        return;
    }
    if (packet.head.data_bytes != 0)
    {
        take_answer(flow, packet);
        return;
    }
    if (!flow->is_open && flow->current)
    {
        flow->is_open = true;
        flow->server_number = packet.server_number;
        send_request(flow, ++flow->last_request, 0);
    }
}

void model_clients::take_answer(const flow_pointer& flow, const model_packets::layout& packet)
{
    if (!flow->current || packet.request != flow->last_request)
    {
        return;
    }
    ++flow->packets;
    if (flow->packets % acknowledged_packets == 0)
    {
        send_head(flow, false);
    }
    if (packet.head.data_bytes == model_packets::full_packet_bytes)
    {
        return;
    }
    if (packet.has_not_run || packet.is_failure)
    {
        fail_try(flow, !packet.has_not_run);
        return;
    }
    const request_pointer asked = std::exchange(flow->current, nullptr);
    finish(asked, true);
    if (scenario_.requests[flow->kind].has_long_flows && !packet.closes)
    {
        idle_[flow->kind][flow->domain].push_back(flow);
        return;
    }
    send_head(flow, true);
    forget(flow);
}

void model_clients::forget(const flow_pointer& flow)
{
    flows_.erase(flow->ends);
    std::vector<flow_pointer>& idle = idle_[flow->kind][flow->domain];
    idle.erase(std::remove(idle.begin(), idle.end(), flow), idle.end());
}

void model_clients::fail_try(const flow_pointer& flow, bool may_have_run)
{
    const request_pointer asked = std::exchange(flow->current, nullptr);
    forget(flow);
    if (!asked || asked->is_over)
    {
        return;
    }
    const lab_requests& kind = scenario_.requests[asked->kind];
    if (asked->tries > kind.retries || (may_have_run && !kind.is_idempotent))
    {
        finish(asked, false);
        return;
    }
    begin_try(asked);
}

void model_clients::finish(const request_pointer& asked, bool is_served)
{
    if (asked->is_over)
    {
        return;
    }
    asked->is_over = true;
    result_.note_request(asked->kind, asked->began - start_, events_.now() - asked->began,
                         is_served);
}

} // namespace carawayshelf::lab
