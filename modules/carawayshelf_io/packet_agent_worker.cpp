#include "carawayshelf_io/packet_agent_worker.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <poll.h>

#include <array>
#include <utility>

namespace carawayshelf
{

namespace
{

packet_agent::options make_options(const agent_daemon_settings& settings)
{
    packet_agent::options options;
    options.data = settings.data_address;
    options.domain = settings.domain;
    options.service = settings.service;
    options.server = settings.server;
    options.announce_interval = std::chrono::milliseconds(settings.announce_ms);
    options.load = settings.load;
    return options;
}

} // namespace

packet_agent_worker::packet_agent_worker(const agent_daemon_settings& settings,
                                         const packet_format& format, packet_counters& counters)
    : settings_(settings), sockets_(format, settings.client_port, counters),
      core_(make_options(settings), format, sockets_, counters, decisions_), counters_(counters)
{
}

packet_agent_worker::~packet_agent_worker()
{
    is_stopping_ = true;
    wakeup_.signal();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

failure packet_agent_worker::start()
{
    if (failure failed =
            sockets_.open(settings_.data_address, settings_.server_side, settings_.server))
    {
        return failed;
    }
    thread_ = std::thread([this] { run(); });
    return {};
}

void packet_agent_worker::post(command task)
{
    commands_.push(std::move(task));
    wakeup_.signal();
}

void packet_agent_worker::run()
{
    std::array<pollfd, 3> poll_fds = {{{sockets_.data_fd(), POLLIN, 0},
                                       {sockets_.server_side_fd(), POLLIN, 0},
                                       {wakeup_.fd(), POLLIN, 0}}};
    time_point tick_due = steady_now();
    while (!is_stopping_)
    {
        const duration until_tick = std::max(tick_due - steady_now(), duration(0));
        ::poll(poll_fds.data(), poll_fds.size(),
               static_cast<int>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(until_tick).count() + 1));
        const time_point instant = steady_now();
        if (poll_fds[2].revents != 0)
        {
            wakeup_.clear();
            run_commands(instant);
        }
        while (poll_fds[0].revents != 0 && receive_envelopes(instant))
        {
        }
        while (poll_fds[1].revents != 0 && receive_server_packets(instant))
        {
        }
        if (instant >= tick_due)
        {
            tick_due = instant + packet_agent::tick_interval;
            core_.tick(instant);
        }
        sockets_.flush();
    }
}

void packet_agent_worker::run_commands(time_point instant)
{
    command task;
    while (commands_.try_pop(task))
    {
        task(instant, core_);
    }
}

bool packet_agent_worker::receive_envelopes(time_point instant)
{
    const std::size_t count = received_.receive(sockets_.data_fd());
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string_view bytes = received_.datagram(i);
        packet_envelope envelope;
        std::size_t header_size = 0;
        if (received_.is_truncated(i) ||
            !decode_packet_envelope(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                    bytes.size(), envelope, header_size))
        {
            counters_.drops.add(packet_drop::malformed);
            continue;
        }
        envelope.waited += received_.waited(i);
        core_.handle_envelope(instant, envelope, received_.mutable_datagram(i) + header_size,
                              bytes.size() - header_size);
    }
    sockets_.flush();
    return count == batch_size;
}

bool packet_agent_worker::receive_server_packets(time_point instant)
{
    const std::size_t count = received_.receive(sockets_.server_side_fd());
    for (std::size_t i = 0; i < count; ++i)
    {
        if (received_.is_truncated(i))
        {
            counters_.drops.add(packet_drop::malformed);
            continue;
        }
        core_.handle_server_packet(instant, received_.mutable_datagram(i),
                                   received_.datagram(i).size());
    }
    sockets_.flush();
    return count == batch_size;
}

} // namespace carawayshelf
