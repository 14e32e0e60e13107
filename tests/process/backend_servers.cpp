#include "backend_servers.hpp"

#include "carawayshelf_io/udp_socket.hpp"
#include "platform_http.hpp"
#include "standin_socket.hpp"

#include <sys/socket.h>

#include <cerrno>
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

/** A flow without packets for this long is closed. */
constexpr duration idle_timeout = std::chrono::seconds(12);

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

backend_server::backend_server(const machine& at, std::string id, std::size_t max_flows,
                               flow_judge& judge)
    : at_(at), id_(std::move(id)), max_flows_(max_flows), started_at_ms_(unix_ms()), judge_(judge),
      last_sequence_(at.address & 0xFFFFU)
{
    if (const failure failed = open_udp_socket({at.address, ports::server}, socket_))
    {
        throw std::system_error(failed.code, failed.message());
    }
    listen();
    announcer_ = std::thread([this] { announce(); });
}

void backend_server::listen()
{
    listener_ = unique_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = to_socket_address({at_.address, ports::server});
    if (::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
            0 ||
        ::listen(listener_.get(), SOMAXCONN) != 0)
    {
        throw std::system_error(errno, std::generic_category(), "health checks can't be served");
    }
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
    close_idle_flows(now);
}

void backend_server::close_idle_flows(time_point now)
{
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        const auto current = item++;
        flow& known = current->second;
        if (now - known.last_used < idle_timeout)
        {
            continue;
        }
        reply(current->first, flag_acknowledge | flag_finish, known.first_sequence + 1, "");
        judge_.note_ended(current->first);
        ended_flows_.insert(current->first);
        flows_.erase(current);
    }
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
    if (packet.has(flag_open))
    {
        handle_opening(now, packet);
        return;
    }
    const packet_flow key{packet.source, packet.destination};
    const auto found = flows_.find(key);
    const bool is_held =
        found != flows_.end() &&
        (found->second.is_open || packet.acknowledged == found->second.first_sequence + 1);
    judge_.note_arrival(now, key, at_.name, packet.sequence);
    if (!is_held)
    {
        if (!answer_for_ended_flow(packet))
        {
            return_packet(packet);
        }
        return;
    }
    flow& known = found->second;
    known.last_used = now;
    if (!known.is_open)
    {
        known.is_open = true;
        judge_.note_opened(now, key, at_.name);
    }
    if (packet.has(flag_finish))
    {
        reply(key, flag_acknowledge | flag_finish, known.first_sequence + 1, "");
        judge_.note_ended(key);
        ended_flows_.insert(key);
        flows_.erase(found);
        return;
    }
    if (!packet.data.empty())
    {
        handle_request(now, key, known, packet);
    }
}

void backend_server::handle_opening(time_point now, const platform_packet& packet)
{
    const packet_flow key{packet.source, packet.destination};
    const auto found = flows_.find(key);
    if (found == flows_.end() && flows_.size() >= max_flows_)
    {
        return_packet(packet);
        return;
    }
    flow& added = found == flows_.end() ? flows_[key] : found->second;
    if (found == flows_.end())
    {
        last_sequence_ += 100000;
        added.first_sequence = last_sequence_;
        ended_flows_.erase(key);
    }
    if (!added.is_open)
    {
        added.last_used = now;
        reply(key, flag_open | flag_acknowledge, added.first_sequence, "");
    }
}

/** Acknowledges a FIN of a flow that has ended here, and resets its data. Returns false if no such
    flow has ended here. */
bool backend_server::answer_for_ended_flow(const platform_packet& packet)
{
    const packet_flow key{packet.source, packet.destination};
    if (ended_flows_.count(key) == 0)
    {
        return false;
    }
    if (packet.has(flag_finish))
    {
        reply(key, flag_acknowledge, packet.acknowledged, "");
    }
    else if (!packet.data.empty())
    {
        reply(key, flag_reset, packet.acknowledged, "");
    }
    return true;
}

void backend_server::return_packet(platform_packet packet)
{
    packet.flags |= flag_returned;
    send_to_agent(encode_platform_packet(packet));
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
    listener_.reset();
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
            "{\"backend\":\"" + at_.service + "\",\"address\":\"" +
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
