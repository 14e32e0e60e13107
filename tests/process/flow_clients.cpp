#include "flow_clients.hpp"

#include "carawayshelf_io/udp_socket.hpp"
#include "standin_socket.hpp"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <system_error>
#include <utility>

namespace carawayshelf::process_tests
{

namespace
{

constexpr std::uint16_t first_port = 10001;
constexpr int max_openings = 3;
constexpr duration opening_timeout = std::chrono::milliseconds(1400);
constexpr duration first_retransmission_after = std::chrono::milliseconds(200);
constexpr duration second_retransmission_after = std::chrono::milliseconds(600);
constexpr duration max_retransmission_interval = std::chrono::milliseconds(1600);

constexpr double max_lateness_s = 1.2;

} // namespace

flow_clients::flow_clients(options client_options, const packet_routers& routers, flow_judge& judge)
    : options_(std::move(client_options)), routers_(routers), judge_(judge), random_(options_.seed),
      next_port_(first_port)
{
    if (const failure failed = open_udp_socket(options_.from, socket_))
    {
        throw std::system_error(failed.code, failed.message());
    }
}

duration flow_clients::random_duration(double max_s)
{
    return duration(static_cast<std::int64_t>(random_share() * max_s * 1e6));
}

double flow_clients::random_share()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

packet_flow flow_clients::key_of(std::uint16_t port, const flow& known) const
{
    return {{options_.from.address, port}, known.service};
}

void flow_clients::run(time_point now)
{
    while (const std::optional<std::string> bytes = standins::receive_from(fd()))
    {
        platform_packet packet;
        if (decode_platform_packet(*bytes, packet))
        {
            handle(now, packet);
        }
    }
    send_delayed(now);
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        const auto current = item++;
        if (now >= current->second.due && !act(now, current->first, current->second))
        {
            end_flow(current);
        }
    }
    if (flows_.size() < options_.concurrent_flows)
    {
        start_flow(now);
    }
}

void flow_clients::start_flow(time_point now)
{
    const std::uint16_t port = next_port_;
    const bool is_last = port - first_port + 1U >= options_.port_count;
    next_port_ = is_last ? first_port : static_cast<std::uint16_t>(port + 1);
    if (flows_.count(port) != 0)
    {
        return;
    }
    flow& added = flows_[port];
    added.service = options_.services[port % options_.services.size()];
    added.started_at = now;
    added.due = now;
    added.closes_at = now + random_duration(options_.max_flow_s);
    added.is_short = random_share() < options_.short_flow_share;
}

void flow_clients::end_flow(flow_map::iterator item)
{
    judge_.note_ended(key_of(item->first, item->second));
    flows_.erase(item);
}

bool flow_clients::act_on_opening(time_point now, std::uint16_t port, flow& known)
{
    if (known.sent == max_openings || now - known.started_at >= opening_timeout)
    {
        ++totals_.not_opened;
        return false;
    }
    send(now, port, known, flag_open, static_cast<std::uint32_t>(known.sent), "");
    ++known.sent;
    known.due = known.started_at + (known.sent == 1   ? first_retransmission_after
                                    : known.sent == 2 ? second_retransmission_after
                                                      : opening_timeout);
    return true;
}

bool flow_clients::act(time_point now, std::uint16_t port, flow& known)
{
    if (!known.is_open)
    {
        return act_on_opening(now, port, known);
    }
    if (!known.is_waiting && now >= known.closes_at)
    {
        close(now, port, known);
        return false;
    }
    if (!known.is_waiting)
    {
        known.is_waiting = true;
        known.started_at = now;
        known.sent = 0;
        ++known.request;
    }
    if (now - known.started_at >= options_.request_deadline)
    {
        ++totals_.unanswered;
        judge_.note_given_up(now, key_of(port, known));
        return false;
    }
    send(now, port, known, flag_acknowledge, known.acknowledged, std::to_string(known.request));
    known.due =
        now + std::min(first_retransmission_after * (1 << known.sent), max_retransmission_interval);
    ++known.sent;
    return true;
}

void flow_clients::send(time_point now, std::uint16_t port, flow& known, std::uint8_t flags,
                        std::uint32_t acknowledged, const std::string& data)
{
    platform_packet packet;
    packet.flags = flags;
    packet.sequence = ++known.packets;
    packet.acknowledged = acknowledged;
    packet.source = {options_.from.address, port};
    packet.destination = known.service;
    packet.data = data;
    const endpoint balancer = routers_.choose(options_.domain, {packet.source, packet.destination});
    if (balancer.is_none())
    {
        return;
    }
    const double delay_s = lateness_s(flags);
    if (delay_s > 0.0)
    {
        delayed_.emplace(now + random_duration(delay_s),
                         std::make_pair(balancer, encode_platform_packet(packet)));
        return;
    }
    standins::send_to(fd(), balancer, encode_platform_packet(packet));
}

/** Maximum delay of the next packet, or 0 if it is sent at once. */
double flow_clients::lateness_s(std::uint8_t flags)
{
    const bool is_opening = (flags & flag_open) != 0;
    const double share = is_opening ? options_.late_copy_share : options_.late_packet_share;
    if (random_share() >= share)
    {
        return 0.0;
    }
    return is_opening ? max_lateness_s : options_.max_packet_lateness_s;
}

void flow_clients::close(time_point now, std::uint16_t port, flow& known)
{
    send(now, port, known, flag_acknowledge | flag_finish, known.acknowledged, "");
}

void flow_clients::send_delayed(time_point now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now)
    {
        const auto& [balancer, bytes] = delayed_.begin()->second;
        standins::send_to(fd(), balancer, bytes);
        delayed_.erase(delayed_.begin());
    }
}

void flow_clients::handle(time_point now, const platform_packet& packet)
{
    const auto found = flows_.find(packet.destination.port);
    if (found == flows_.end() || found->second.service != packet.source)
    {
        return;
    }
    flow& known = found->second;
    if (packet.has(flag_reset))
    {
        if (packet.checksum == 0)
        {
            judge_.note_reset(now, key_of(found->first, known));
        }
        totals_.not_opened += known.is_open ? 0 : 1;
        end_flow(found);
        return;
    }
    if (packet.has(flag_open))
    {
        if (!known.is_open)
        {
            ++totals_.opened;
            known.is_open = true;
            known.acknowledged = packet.sequence + 1;
            known.due = now;
        }
        return;
    }
    if (known.is_waiting && packet.data == std::to_string(known.request))
    {
        ++totals_.answers;
        known.is_waiting = false;
        known.due = now + random_duration(options_.max_pause_s);
        if (known.is_short)
        {
            known.closes_at = now;
            known.due = now;
        }
    }
    if (packet.has(flag_finish))
    {
        end_flow(found);
    }
}

} // namespace carawayshelf::process_tests
