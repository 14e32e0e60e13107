#include "backend_servers.hpp"

#include "carawayshelf_io/udp_socket.hpp"
#include "platform_http.hpp"
#include "standin_socket.hpp"

#include <cstdlib>
#include <optional>
#include <system_error>

namespace carawayshelf::process_tests
{

namespace
{

constexpr std::size_t slots = 2;
constexpr duration work_time = std::chrono::milliseconds(12);
constexpr duration announce_interval = std::chrono::milliseconds(770);
constexpr duration call_timeout = std::chrono::seconds(1);

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

backend_server::backend_server(const machine& at, std::string service, std::string id,
                               flow_judge& judge)
    : at_(at), service_(std::move(service)), id_(std::move(id)), started_at_ms_(unix_ms()),
      judge_(judge), last_sequence_(at.address & 0xFFFFU)
{
    if (const failure failed = open_udp_socket({at.address, ports::server}, socket_))
    {
        throw std::system_error(failed.code, failed.message());
    }
    announcer_ = std::thread([this] { announce(); });
}

backend_server::~backend_server()
{
    is_stopping_ = true;
    announcer_.join();
}

void backend_server::run(time_point now)
{
    while (const std::optional<std::string> bytes = standins::receive_from(fd()))
    {
        platform_packet packet;
        if (!has_ended_ && decode_platform_packet(*bytes, packet))
        {
            handle(now, packet);
        }
    }
    for (std::size_t i = 0; i < running_.size();)
    {
        if (now < running_[i].done_at)
        {
            ++i;
            continue;
        }
        const auto found = flows_.find(running_[i].flow);
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        if (found != flows_.end())
        {
            found->second.last_request = found->second.running_request;
            answer(found->first, found->second);
        }
    }
    start_jobs(now);
}

void backend_server::start_jobs(time_point now)
{
    while (!waiting_.empty() && running_.size() < slots)
    {
        running_.push_back({waiting_.front().flow, now + work_time});
        waiting_.pop_front();
    }
}

void backend_server::handle(time_point now, const platform_packet& packet)
{
    const packet_flow key{packet.source, packet.destination};
    const auto found = flows_.find(key);
    if (packet.has(flag_open))
    {
        flow& added = found == flows_.end() ? flows_[key] : found->second;
        if (found == flows_.end())
        {
            last_sequence_ += 100000;
            added.first_sequence = last_sequence_;
        }
        if (!added.is_open)
        {
            reply(key, flag_open | flag_acknowledge, added.first_sequence, "");
        }
        return;
    }
    const bool is_held =
        found != flows_.end() &&
        (found->second.is_open || packet.acknowledged == found->second.first_sequence + 1);
    judge_.note_arrival(now, key, at_.name, packet.sequence);
    if (!is_held)
    {
        platform_packet returned = packet;
        returned.flags |= flag_returned;
        send_to_agent(encode_platform_packet(returned));
        return;
    }
    flow& known = found->second;
    if (!known.is_open)
    {
        known.is_open = true;
        judge_.note_opened(now, key, at_.name);
    }
    if (packet.has(flag_finish))
    {
        reply(key, flag_acknowledge | flag_finish, known.first_sequence + 1, "");
        judge_.note_ended(key);
        flows_.erase(found);
        return;
    }
    if (!packet.data.empty())
    {
        handle_request(now, key, known, packet);
    }
}

/** Runs a request unless it is a retransmission; of an answered one, the answer is sent again. */
void backend_server::handle_request(time_point now, const packet_flow& key, flow& known,
                                    const platform_packet& packet)
{
    const std::uint64_t number = std::strtoull(packet.data.c_str(), nullptr, 10);
    if (number == known.last_request)
    {
        answer(key, known);
        return;
    }
    if (number <= known.running_request)
    {
        return;
    }
    known.running_request = number;
    waiting_.push_back({key, {}});
    start_jobs(now);
}

void backend_server::answer(const packet_flow& key, flow& known)
{
    const std::uint8_t finish = is_draining_ ? flag_finish : 0;
    reply(key, static_cast<std::uint8_t>(flag_acknowledge | finish), known.first_sequence + 1,
          std::to_string(known.last_request));
}

void backend_server::reply(const packet_flow& key, std::uint8_t flags, std::uint32_t sequence,
                           const std::string& data)
{
    platform_packet packet;
    packet.flags = flags;
    packet.source = key.service;
    packet.destination = key.client;
    packet.sequence = sequence;
    packet.data = data;
    send_to_agent(encode_platform_packet(packet));
}

void backend_server::send_to_agent(const std::string& bytes)
{
    standins::send_to(fd(), {at_.address, ports::server_side}, bytes);
}

endpoint backend_server::announcements_to() const
{
    return {at_.address, ports::control_plane};
}

void backend_server::end()
{
    has_ended_ = true;
    is_stopping_ = true;
    flows_.clear();
    running_.clear();
    waiting_.clear();
    judge_.note_server_ended(at_.name);
}

void backend_server::deregister() const
{
    call_http(announcements_to(), "POST", "/carawayshelf/Instances.Deregister/" + id_,
              "{\"born\":" + std::to_string(started_at_ms_) + "}", call_timeout);
}

void backend_server::announce()
{
    std::uint64_t sequence = 0;
    time_point due = standins::clock_now();
    while (!is_stopping_)
    {
        if (standins::clock_now() < due)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        due = standins::clock_now() + announce_interval;
        const bool is_draining = is_draining_;
        const std::string body =
            "{\"backend\":\"" + service_ + "\",\"address\":\"" +
            to_string(endpoint{at_.address, ports::server}) + "\",\"zone\":\"" + at_.domain +
            "\",\"version\":\"v1\",\"capacity_slots\":" + std::to_string(slots) + ",\"state\":\"" +
            (is_draining ? "draining" : "ready") +
            "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++sequence) +
            ",\"born\":" + std::to_string(started_at_ms_) + "}";
        const int status =
            call_http(announcements_to(), "POST", "/carawayshelf/Instances.Heartbeat/" + id_, body,
                      call_timeout);
        if (status == 200 && is_draining)
        {
            is_draining_acknowledged_ = true;
        }
    }
}

} // namespace carawayshelf::process_tests
