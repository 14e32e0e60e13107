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

constexpr int busy_timeout_ms = 5;
constexpr int idle_timeout_ms = 20;
constexpr std::size_t max_events = 64;
constexpr duration snapshot_interval = std::chrono::milliseconds(100);

std::uint64_t random_secret()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

void watch(int epoll, int fd)
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
      epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      bodies_(batch_size)
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
    if (failure failed = open_udp_socket(settings_.data, data_socket_))
    {
        return failed;
    }
    if (failure failed = open_udp_socket(settings_.announce, announce_socket_))
    {
        return failed;
    }
    watch_errors(data_socket_.get());
    watch(epoll_.get(), wake_.get());
    watch(epoll_.get(), data_socket_.get());
    watch(epoll_.get(), announce_socket_.get());
    thread_ = std::thread([this] { run(); });
    return {};
}

void agent_traffic::restore(const agent_restart_state& seal)
{
    desk_.restore(seal.service, seal.server);
    is_server_up_ = true;
    service_ = seal.service;
    self_ = seal.member;
    core_->restore(steady_now(), seal);
    for (const saved_flow& value : seal.flows)
    {
        if (value.local_port == 0)
        {
            continue;
        }
        const flow_key key{seal.service_number, value.caller};
        unique_fd socket = connect_udp_socket(seal.server, value.local_port);
        if (socket.is_open())
        {
            flow_of_socket_[socket.get()] = key;
            watch(epoll_.get(), socket.get());
            flow_sockets_[key] = std::move(socket);
        }
    }
}

void agent_traffic::seal_when_quiet(std::function<void(const agent_restart_state&)> done)
{
    post(
        [this, done = std::move(done)]
        {
            core_->begin_export();
            on_sealed_ = done;
        });
}

void agent_traffic::seal_if_quiet()
{
    if (!on_sealed_ || !core_->is_ready_for_export())
    {
        return;
    }
    agent_restart_state sealed = core_->export_state(steady_now());
    sealed.server = desk_.server();
    for (saved_flow& value : sealed.flows)
    {
        const auto socket = flow_sockets_.find({sealed.service_number, value.caller});
        if (socket != flow_sockets_.end())
        {
            value.local_port = local_port_of(socket->second.get());
        }
    }
    is_stopping_ = true;
    std::exchange(on_sealed_, nullptr)(sealed);
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
    static_cast<void>(!::write(wake_.get(), &one, sizeof(one)));
}

void agent_traffic::set_table(std::shared_ptr<const subscriber_table> table,
                              const std::string& service, member_id self)
{
    post(
        [this, table = std::move(table), service, self]
        {
            table_ = table;
            service_ = service;
            self_ = self;
            core_->handle_table(steady_now(), *table, service, self);
            held_ = table->held();
        });
}

void agent_traffic::start_epoch()
{
    post(
        [this]
        {
            flow_sockets_.clear();
            flow_of_socket_.clear();
            make_core();
            core_->set_draining(is_draining_);
            if (table_)
            {
                core_->handle_table(steady_now(), *table_, service_, self_);
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

agent_snapshot agent_traffic::snapshot() const
{
    const std::lock_guard<std::mutex> lock(snapshot_mutex_);
    return snapshot_;
}

void agent_traffic::run()
{
    std::array<epoll_event, max_events> events{};
    while (!is_stopping_)
    {
        const bool is_busy = core_->limiter().running() + core_->limiter().queued() > 0;
        const int ready = ::epoll_wait(epoll_.get(), events.data(), max_events,
                                       is_busy ? busy_timeout_ms : idle_timeout_ms);
        for (int i = 0; i < ready; ++i)
        {
            handle_event(events[static_cast<std::size_t>(i)].data.fd);
        }
        const time_point instant = steady_now();
        core_->tick(instant);
        flush_envelopes();
        publish_snapshot(instant);
        seal_if_quiet();
    }
}

void agent_traffic::handle_event(int fd)
{
    if (fd == wake_.get())
    {
        std::uint64_t count = 0;
        static_cast<void>(!::read(wake_.get(), &count, sizeof(count)));
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
    for (endpoint closed = take_closed_receiver(data_socket_.get()); !closed.is_none();
         closed = take_closed_receiver(data_socket_.get()))
    {
        core_->balancer_unreachable(closed);
    }
    const std::size_t count = received_.receive(data_socket_.get());
    const time_point instant = steady_now();
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string_view bytes = received_.datagram(i);
        envelope header;
        std::size_t header_size = 0;
        if (received_.is_cut(i) ||
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
        const registration_event event = desk_.handle(received_.datagram(i), answer);
        if (event == registration_event::started)
        {
            log_info("the backend server at " + to_string(desk_.server()) + " has started");
            flow_sockets_.clear();
            flow_of_socket_.clear();
            is_server_up_ = true;
            is_draining_ = false;
            core_->server_started(steady_now());
        }
        if (event == registration_event::leaving)
        {
            log_info("the backend server leaves");
            is_draining_ = true;
            core_->set_draining(true);
        }
        if (event != registration_event::none)
        {
            on_registration_(event, desk_.service());
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
        const auto found = flow_of_socket_.find(fd);
        if (found == flow_of_socket_.end())
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
    // The core's datagram may be gone before the batch is sent.
    std::string& body = bodies_[envelopes_.size()];
    body.assign(datagram);
    envelopes_.add(to, encode_envelope(header, envelopes_.header_room()), body);
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
        socket = connect_udp_socket(desk_.server());
        if (!socket.is_open())
        {
            return;
        }
        flow_of_socket_[socket.get()] = key;
        watch(epoll_.get(), socket.get());
    }
    static_cast<void>(::send(socket.get(), datagram.data(), datagram.size(), MSG_DONTWAIT) < 0);
}

void agent_traffic::close_flow(const flow_key& key)
{
    const auto found = flow_sockets_.find(key);
    if (found != flow_sockets_.end())
    {
        flow_of_socket_.erase(found->second.get());
        flow_sockets_.erase(found);
    }
}

void agent_traffic::publish_snapshot(time_point instant)
{
    if (instant < next_snapshot_)
    {
        return;
    }
    next_snapshot_ = instant + snapshot_interval;
    agent_snapshot taken;
    taken.state = is_draining_ || !is_server_up_ ? member_state::draining
                  : core_->is_cold(instant)      ? member_state::cold
                                                 : member_state::warm;
    taken.is_quiet = core_->is_idle();
    taken.is_unconfirmed = core_->is_unconfirmed();
    taken.flows = core_->flow_count();
    taken.running = core_->limiter().running();
    taken.released = core_->releasable_buckets();
    const std::lock_guard<std::mutex> lock(snapshot_mutex_);
    snapshot_ = std::move(taken);
}

} // namespace carawayshelf
