#include "carawayshelf_io/agent_traffic.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <array>
#include <cerrno>
#include <random>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr int busy_poll_timeout_ms = 5;
constexpr int idle_poll_timeout_ms = 20;
constexpr std::size_t max_events = 64;
constexpr duration status_interval = std::chrono::milliseconds(100);

std::uint64_t random_secret()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

void add_to_epoll(int epoll, int fd)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

} // namespace

agent_traffic::agent_traffic(const agent_daemon_settings& settings, agent_counters& counters,
                             registration_handler on_registration)
    : settings_(settings), counters_(counters), on_registration_(std::move(on_registration)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)), wakeup_fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      envelope_bodies_(batch_size)
{
    make_core();
}

agent_traffic::~agent_traffic()
{
    stop();
}

void agent_traffic::make_core()
{
    core_ = std::make_unique<agent_core>(agent_settings{}, random_secret(), *this, counters_);
}

failure agent_traffic::start()
{
    if (failure failed = open_udp_socket(settings_.data_address, data_socket_))
    {
        return failed;
    }
    if (failure failed = open_udp_socket(settings_.announce_address, announce_socket_))
    {
        return failed;
    }
    enable_error_queue(data_socket_.get());
    add_to_epoll(epoll_.get(), wakeup_fd_.get());
    add_to_epoll(epoll_.get(), data_socket_.get());
    add_to_epoll(epoll_.get(), announce_socket_.get());
    thread_ = std::thread([this] { run(); });
    return {};
}

void agent_traffic::restore(const agent_restart_state& state)
{
    registration_.restore(state.service, state.server);
    is_server_up_ = true;
    service_ = state.service;
    member_ = state.member;
    core_->restore(steady_now(), state);
    for (const saved_flow& value : state.flows)
    {
        if (value.local_port == 0)
        {
            continue;
        }
        const flow_key key{state.service_number, value.caller};
        unique_fd socket = connect_udp_socket(state.server, value.local_port);
        if (socket.is_open())
        {
            flow_by_fd_[socket.get()] = key;
            add_to_epoll(epoll_.get(), socket.get());
            flow_sockets_[key] = std::move(socket);
        }
    }
}

void agent_traffic::export_state_when_idle(std::function<void(const agent_restart_state&)> done)
{
    post(
        [this, done = std::move(done)]
        {
            core_->begin_export();
            on_exported_ = done;
        });
}

void agent_traffic::export_state_if_idle()
{
    if (!on_exported_ || !core_->is_ready_for_export())
    {
        return;
    }
    agent_restart_state state = core_->export_state(steady_now());
    state.server = registration_.server();
    for (saved_flow& value : state.flows)
    {
        const auto socket = flow_sockets_.find({state.service_number, value.caller});
        if (socket != flow_sockets_.end())
        {
            value.local_port = local_port_of(socket->second.get());
        }
    }
    is_stopping_ = true;
    std::exchange(on_exported_, nullptr)(state);
}

void agent_traffic::stop()
{
    is_stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void agent_traffic::post(std::function<void()> task)
{
    tasks_.push(std::move(task));
    const std::uint64_t one = 1;
    static_cast<void>(!::write(wakeup_fd_.get(), &one, sizeof(one)));
}

void agent_traffic::set_table(std::shared_ptr<const subscriber_table> table,
                              const std::string& service, member_id member)
{
    post(
        [this, table = std::move(table), service, member]
        {
            table_ = table;
            service_ = service;
            member_ = member;
            core_->handle_table(steady_now(), *table, service, member);
            table_generation_ = table->held();
        });
}

void agent_traffic::start_epoch()
{
    post(
        [this]
        {
            flow_sockets_.clear();
            flow_by_fd_.clear();
            make_core();
            core_->set_draining(is_draining_);
            if (table_)
            {
                core_->handle_table(steady_now(), *table_, service_, member_);
            }
            if (is_server_up_)
            {
                core_->server_started(steady_now());
            }
        });
}

void agent_traffic::set_draining(bool draining)
{
    post(
        [this, draining]
        {
            is_draining_ = draining;
            core_->set_draining(draining);
        });
}

agent_status agent_traffic::status() const
{
    const std::lock_guard<std::mutex> lock(status_mutex_);
    return status_;
}

void agent_traffic::run()
{
    std::array<epoll_event, max_events> events{};
    while (!is_stopping_)
    {
        const bool is_busy = core_->limiter().running() + core_->limiter().queued() > 0;
        const int ready = ::epoll_wait(epoll_.get(), events.data(), max_events,
                                       is_busy ? busy_poll_timeout_ms : idle_poll_timeout_ms);
        for (int i = 0; i < ready; ++i)
        {
            handle_event(events[static_cast<std::size_t>(i)].data.fd);
        }
        const time_point instant = steady_now();
        core_->tick(instant);
        flush_envelopes();
        publish_status(instant);
        export_state_if_idle();
    }
}

void agent_traffic::handle_event(int fd)
{
    if (fd == wakeup_fd_.get())
    {
        std::uint64_t count = 0;
        static_cast<void>(!::read(wakeup_fd_.get(), &count, sizeof(count)));
        run_tasks();
    }
    else if (fd == data_socket_.get())
    {
        receive_envelopes();
    }
    else if (fd == announce_socket_.get())
    {
        receive_registrations();
    }
    else
    {
        receive_from_server(fd);
    }
}

void agent_traffic::run_tasks()
{
    std::function<void()> task;
    while (tasks_.try_pop(task))
    {
        task();
    }
}

void agent_traffic::receive_envelopes()
{
    for (endpoint unreachable = pop_unreachable_peer(data_socket_.get()); !unreachable.is_none();
         unreachable = pop_unreachable_peer(data_socket_.get()))
    {
        core_->balancer_unreachable(unreachable);
    }
    const std::size_t count = received_.receive(data_socket_.get());
    const time_point instant = steady_now();
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string_view bytes = received_.datagram(i);
        envelope header;
        std::size_t header_size = 0;
        if (received_.is_truncated(i) ||
            decode_envelope(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
                            header, header_size) != envelope_fault::none)
        {
            counters_.received.fetch_add(1, std::memory_order_relaxed);
            counters_.dropped.fetch_add(1, std::memory_order_relaxed);
            counters_.drops.add(agent_drop::malformed_envelope);
            continue;
        }
        core_->receive_envelope(instant, header, bytes.substr(header_size));
    }
    flush_envelopes();
}

void agent_traffic::receive_registrations()
{
    const std::size_t count = received_.receive(announce_socket_.get());
    for (std::size_t i = 0; i < count; ++i)
    {
        std::string answer;
        const registration_event event = registration_.handle(received_.datagram(i), answer);
        if (event == registration_event::started)
        {
            log_info("the backend server at " + to_string(registration_.server()) + " has started");
            flow_sockets_.clear();
            flow_by_fd_.clear();
            is_server_up_ = true;
            is_draining_ = false;
            core_->server_started(steady_now());
        }
        if (event == registration_event::leaving)
        {
            log_info("the backend server is leaving; draining");
            is_draining_ = true;
            core_->set_draining(true);
        }
        if (event != registration_event::none)
        {
            on_registration_(event, registration_.service());
        }
        if (!answer.empty())
        {
            const sockaddr_in to = to_socket_address(received_.sender(i));
            ::sendto(announce_socket_.get(), answer.data(), answer.size(), 0,
                     reinterpret_cast<const sockaddr*>(&to), sizeof(to));
        }
    }
}

void agent_traffic::receive_from_server(int fd)
{
    std::array<char, max_datagram_bytes> buffer;
    for (;;)
    {
        const auto found = flow_by_fd_.find(fd);
        if (found == flow_by_fd_.end())
        {
            return;
        }
        const flow_key key = found->second;
        const ssize_t size = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0)
        {
            if (errno == ECONNREFUSED && is_server_up_)
            {
                log_warning("the backend server's port is closed");
                is_server_up_ = false;
                core_->server_down(steady_now());
            }
            return;
        }
        core_->receive_from_server(steady_now(), key,
                                   {buffer.data(), static_cast<std::size_t>(size)});
    }
}

void agent_traffic::send_envelope(const endpoint& to, const envelope& header,
                                  std::string_view datagram)
{
    if (envelopes_.is_full())
    {
        flush_envelopes();
    }
    // Copied because the core's datagram may be destroyed before the batch is sent.
    std::string& body = envelope_bodies_[envelopes_.size()];
    body.assign(datagram);
    envelopes_.add(to, encode_envelope(header, envelopes_.header_buffer()), body);
}

void agent_traffic::flush_envelopes()
{
    if (!envelopes_.is_empty())
    {
        envelopes_.flush(data_socket_.get());
    }
}

void agent_traffic::send_to_server(const flow_key& key, std::string_view datagram)
{
    unique_fd& socket = flow_sockets_[key];
    if (!socket.is_open())
    {
        socket = connect_udp_socket(registration_.server());
        if (!socket.is_open())
        {
            return;
        }
        flow_by_fd_[socket.get()] = key;
        add_to_epoll(epoll_.get(), socket.get());
    }
    static_cast<void>(::send(socket.get(), datagram.data(), datagram.size(), MSG_DONTWAIT) < 0);
}

void agent_traffic::close_flow(const flow_key& key)
{
    const auto found = flow_sockets_.find(key);
    if (found != flow_sockets_.end())
    {
        flow_by_fd_.erase(found->second.get());
        flow_sockets_.erase(found);
    }
}

void agent_traffic::publish_status(time_point instant)
{
    if (instant < next_status_)
    {
        return;
    }
    next_status_ = instant + status_interval;
    agent_status current;
    current.state = is_draining_ || !is_server_up_ ? member_state::draining
                    : core_->is_cold(instant)      ? member_state::cold
                                                   : member_state::warm;
    current.is_idle = core_->is_idle();
    current.is_unconfirmed = core_->is_unconfirmed();
    current.flows = core_->flow_count();
    current.running = core_->limiter().running();
    current.released = core_->releasable_buckets();
    const std::lock_guard<std::mutex> lock(status_mutex_);
    status_ = std::move(current);
}

} // namespace carawayshelf
