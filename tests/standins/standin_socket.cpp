#include "standin_socket.hpp"

#include <poll.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace carawayshelf::standins
{

namespace
{

std::atomic<bool> stop_requested{false};

void on_signal(int /*signal*/)
{
    stop_requested = true;
}

} // namespace

time_point clock_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

void send_to(int fd, const endpoint& to, std::string_view datagram)
{
    const sockaddr_in address = to_socket_address(to);
    static_cast<void>(::sendto(fd, datagram.data(), datagram.size(), MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
}

std::optional<std::string> receive_from(int fd, endpoint* sender)
{
    std::string buffer(max_datagram_bytes, '\0');
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t size = ::recvfrom(fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                    reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0)
    {
        return std::nullopt;
    }
    buffer.resize(static_cast<std::size_t>(size));
    if (sender != nullptr)
    {
        *sender = from_socket_address(from);
    }
    return buffer;
}

std::vector<int> wait_readable(const std::vector<int>& fds, duration timeout)
{
    std::vector<pollfd> watched;
    watched.reserve(fds.size());
    for (const int fd : fds)
    {
        watched.push_back({fd, POLLIN, 0});
    }
    const int limit_ms = static_cast<int>(timeout.count() / 1000);
    std::vector<int> readable;
    if (::poll(watched.data(), watched.size(), limit_ms) > 0)
    {
        for (const pollfd& entry : watched)
        {
            if (entry.revents != 0)
            {
                readable.push_back(entry.fd);
            }
        }
    }
    return readable;
}

void watch_signals()
{
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
}

bool is_stop_requested()
{
    return stop_requested;
}

std::vector<endpoint> parse_list(const std::string& text)
{
    std::vector<endpoint> values;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        const std::optional<endpoint> value = parse_endpoint(part);
        if (!value)
        {
            std::cerr << "'" << part << "' is not of the form ADDRESS:PORT\n";
            std::exit(2);
        }
        values.push_back(*value);
    }
    return values;
}

} // namespace carawayshelf::standins
