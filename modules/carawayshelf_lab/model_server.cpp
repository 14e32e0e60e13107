#include "carawayshelf_lab/model_server.hpp"

#include <algorithm>
#include <cmath>

namespace carawayshelf::lab
{

namespace
{

constexpr duration failure_time = std::chrono::milliseconds(1); ///< Service time of a failure.

} // namespace

model_server::model_server(event_queue& events, const lab_service& service, std::mt19937_64& random,
                           const std::vector<lab_request_kind>& requests, packet_sender send)
    : events_(events), service_(service), random_(random), requests_(requests),
      send_(std::move(send))
{
    set_failing(false);
}

void model_server::start()
{
    stop();
    ++incarnation_;
    is_up_ = true;
    is_draining_ = false;
    started_ = events_.now();
}

void model_server::stop()
{
    is_up_ = false;
    flows_.clear();
    queue_.clear();
    busy_ = 0;
}

duration model_server::remaining_cold_time() const
{
    return std::max(started_ + service_.cold_for - events_.now(), duration(0));
}

void model_server::handle_packet(const model_packets::layout& packet)
{
    if (!is_up_)
    {
        return;
    }
    const packet_flow key{packet.header.source, packet.header.destination};
    const auto found = flows_.find(key);
    if (packet.header.is_opening)
    {
        server_flow& flow = found == flows_.end() ? flows_[key] : found->second;
        flow.number = flow.number == 0 ? ++last_flow_number_ : flow.number;
        model_packets::layout reply;
        reply.header.source = key.service;
        reply.header.destination = key.client;
        reply.server_flow_number = flow.number;
        send_(reply);
        return;
    }
    if (found == flows_.end() || found->second.number != packet.server_flow_number)
    {
        model_packets::layout returned = packet;
        returned.header.is_returned = true;
        send_(returned);
        return;
    }
    if (packet.header.is_finish)
    {
        flows_.erase(found);
        return;
    }
    if (packet.header.data_bytes != 0)
    {
        handle_request(packet, found->second);
    }
}

void model_server::handle_request(const model_packets::layout& packet, server_flow& flow)
{
    if (packet.request <= flow.last_request)
    {
        return; // A retransmission; the request is answered already or will be.
    }
    flow.last_request = packet.request;
    if (silent_share_ > 0.0 && std::bernoulli_distribution(silent_share_)(random_))
    {
        return;
    }
    if (busy_ < service_.slots)
    {
        run_request({packet, events_.now()});
    }
    else if (queue_.size() < service_.queue)
    {
        queue_.push_back({packet, events_.now()});
    }
    else
    {
        answer(packet, 0, false, true);
    }
}

const lab_request_kind& model_server::kind_of(const model_packets::layout& packet) const
{
    return requests_[packet.header.destination.port - 1U];
}

duration model_server::draw_service_time(const lab_request_kind& kind)
{
    // The offset of -sigma^2 / 2 gives the lognormal factor a mean of 1.
    const double sigma = kind.spread;
    std::lognormal_distribution<double> factor(-sigma * sigma / 2.0, sigma);
    const double cold = remaining_cold_time() > duration(0) ? service_.cold_factor : 1.0;
    return duration(static_cast<std::int64_t>(static_cast<double>(kind.work.count()) *
                                              factor(random_) * slowdown_ * cold));
}

void model_server::run_request(const waiting_request& request)
{
    ++busy_;
    ++requests_run_;
    const bool is_failure = is_failure_(request.packet);
    const duration service_time =
        is_failure ? failure_time : draw_service_time(kind_of(request.packet));
    events_.schedule_after(service_time,
                           [this, request, is_failure, incarnation = incarnation_]
                           {
                               if (incarnation == incarnation_ && is_up_)
                               {
                                   finish_request(request, is_failure);
                               }
                           });
}

void model_server::finish_request(const waiting_request& request, bool is_failure)
{
    --busy_;
    answer(request.packet, kind_of(request.packet).answer_bytes, is_failure, false);
    if (observer_)
    {
        observer_(request.received_at - started_, events_.now() - request.received_at);
    }
    if (!queue_.empty() && busy_ < service_.slots)
    {
        const waiting_request next = queue_.front();
        queue_.pop_front();
        run_request(next);
    }
}

void model_server::answer(const model_packets::layout& packet, std::uint32_t bytes, bool is_failure,
                          bool is_rejected)
{
    model_packets::layout reply;
    reply.header.source = packet.header.destination;
    reply.header.destination = packet.header.source;
    reply.request = packet.request;
    reply.server_flow_number = packet.server_flow_number;
    reply.is_failure = is_failure;
    reply.is_rejected = is_rejected;
    reply.closes_flow = is_draining_;
    for (std::uint32_t left = bytes; left >= model_packets::full_packet_bytes;
         left -= model_packets::full_packet_bytes)
    {
        reply.header.data_bytes = model_packets::full_packet_bytes;
        send_(reply);
    }
    reply.header.data_bytes = std::max<std::uint32_t>(bytes % model_packets::full_packet_bytes, 1);
    reply.header.is_finish = reply.closes_flow;
    send_(reply);
}

} // namespace carawayshelf::lab
