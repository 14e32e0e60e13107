#include "carawayshelf_io/balancer_worker.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>

namespace carawayshelf
{

namespace
{

constexpr int poll_timeout_ms = 100;
constexpr std::size_t max_events = 64;
constexpr std::size_t min_coap_message_bytes = 4; ///< A CoAP header.

void add_to_epoll(int epoll, int fd, service_id service)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u32 = service;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

} // namespace

balancer_worker::balancer_worker(const endpoint& data, balancer_counters& counters)
    : data_address_(data), counters_(counters), epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      view_(std::make_shared<const balancer_view>())
{
}

balancer_worker::~balancer_worker()
{
    stop();
}

failure balancer_worker::start()
{
    if (failure failed = open_udp_socket(data_address_, data_socket_))
    {
        return failed;
    }
    add_to_epoll(epoll_.get(), data_socket_.get(), 0);
    thread_ = std::thread([this] { run(); });
    return {};
}

void balancer_worker::stop()
{
    is_stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void balancer_worker::set_view(const std::shared_ptr<const balancer_view>& view)
{
    const std::shared_ptr<const balancer_view> before = std::atomic_load(&view_);
    std::atomic_store(&view_, view);
    for (const auto& [service, socket] : view->sockets)
    {
        const auto known = before->sockets.find(service);
        if (known == before->sockets.end() || known->second != socket)
        {
            add_to_epoll(epoll_.get(), socket->get(), service);
        }
    }
}

void balancer_worker::run()
{
    std::array<epoll_event, max_events> events{};
    while (!is_stopping_)
    {
        const int ready = ::epoll_wait(epoll_.get(), events.data(), max_events, poll_timeout_ms);
        const std::shared_ptr<const balancer_view> view = std::atomic_load(&view_);
        for (int i = 0; i < ready; ++i)
        {
            const service_id service = events[static_cast<std::size_t>(i)].data.u32;
            if (service == 0)
            {
                relay_to_callers(*view);
                continue;
            }
            const auto socket = view->sockets.find(service);
            if (socket != view->sockets.end())
            {
                relay_from_callers(service, socket->second->get(), *view);
            }
        }
    }
}

void balancer_worker::relay_from_callers(service_id service, int fd, const balancer_view& view)
{
    const std::size_t count = received_.receive(fd);
    counters_.received.fetch_add(count, std::memory_order_relaxed);
    for (std::size_t i = 0; i < count; ++i)
    {
        relay_to_agent(service, i, view);
    }
    flush_to_agents();
}

void balancer_worker::relay_to_agent(service_id service, std::size_t index,
                                     const balancer_view& view)
{
    const std::string_view datagram = received_.datagram(index);
    if (datagram.size() < min_coap_message_bytes)
    {
        counters_.drops.add(balancer_drop::too_short);
        return;
    }
    if (received_.is_truncated(index))
    {
        counters_.drops.add(balancer_drop::too_long);
        return;
    }
    envelope header;
    header.flow = {service, received_.sender(index)};
    routing_table::route route;
    if (!view.table.find(header.flow, route))
    {
        counters_.drops.add(balancer_drop::unknown_service);
        return;
    }
    if (route.owner.member == 0)
    {
        counters_.drops.add(balancer_drop::no_owner);
        return;
    }
    header.reply_to = data_address_;
    header.table_generation = view.table.held();
    header.row_generation = route.row_generation;
    header.owner = route.owner;
    header.earlier_count = static_cast<std::uint8_t>(route.earlier_count);
    header.earlier = route.earlier;
    to_agents_.add(route.owner.data, encode_envelope(header, to_agents_.header_buffer()), datagram);
}

void balancer_worker::flush_to_agents()
{
    if (to_agents_.is_empty())
    {
        return;
    }
    const std::size_t sent = to_agents_.size();
    const std::size_t failed = to_agents_.flush(data_socket_.get());
    counters_.relayed.fetch_add(sent - failed, std::memory_order_relaxed);
    for (std::size_t i = 0; i < failed; ++i)
    {
        counters_.drops.add(balancer_drop::send_failed);
    }
}

void balancer_worker::relay_to_callers(const balancer_view& view)
{
    const std::size_t count = received_.receive(data_socket_.get());
    int open_fd = -1;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string_view bytes = received_.datagram(i);
        envelope header;
        std::size_t header_size = 0;
        if (received_.is_truncated(i) ||
            decode_envelope(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
                            header, header_size) != envelope_fault::none)
        {
            counters_.drops.add(balancer_drop::malformed_envelope);
            continue;
        }
        if (header.kind != envelope_kind::to_caller)
        {
            counters_.drops.add(balancer_drop::unexpected_envelope);
            continue;
        }
        const auto socket = view.sockets.find(header.flow.service);
        if (socket == view.sockets.end())
        {
            counters_.drops.add(balancer_drop::unknown_service);
            continue;
        }
        if (header.table_generation > counters_.newest_generation)
        {
            counters_.newest_generation = header.table_generation;
        }
        if (open_fd != socket->second->get() && !to_callers_.is_empty())
        {
            to_callers_.flush(open_fd);
        }
        open_fd = socket->second->get();
        to_callers_.add(header.flow.caller, 0, bytes.substr(header_size));
        counters_.replies.fetch_add(1, std::memory_order_relaxed);
    }
    if (!to_callers_.is_empty())
    {
        const std::size_t failed = to_callers_.flush(open_fd);
        for (std::size_t i = 0; i < failed; ++i)
        {
            counters_.drops.add(balancer_drop::send_failed);
        }
    }
}

} // namespace carawayshelf
