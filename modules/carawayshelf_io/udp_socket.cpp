#include "carawayshelf_io/udp_socket.hpp"

#include <arpa/inet.h>

#include <cerrno>
#include <cstring>

namespace carawayshelf
{

namespace
{

constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

/** Time since the arrival that the kernel recorded for a datagram; 0 if it recorded none. If the
    system time is set in between, the result is wrong by that step. */
duration waiting_time(msghdr& message, const timespec& now)
{
    const cmsghdr* control = CMSG_FIRSTHDR(&message);
    if (control == nullptr || control->cmsg_level != SOL_SOCKET ||
        control->cmsg_type != SCM_TIMESTAMPNS)
    {
        return duration(0);
    }
    timespec arrived{};
    std::memcpy(&arrived, CMSG_DATA(control), sizeof(arrived));
    const std::chrono::nanoseconds waited = std::chrono::seconds(now.tv_sec - arrived.tv_sec) +
                                            std::chrono::nanoseconds(now.tv_nsec - arrived.tv_nsec);
    return std::chrono::duration_cast<duration>(std::chrono::abs(waited));
}

} // namespace

sockaddr_in to_socket_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(value.address);
    address.sin_port = htons(value.port);
    return address;
}

endpoint from_socket_address(const sockaddr_in& value)
{
    return {ntohl(value.sin_addr.s_addr), ntohs(value.sin_port)};
}

failure open_udp_socket(const endpoint& address, unique_fd& opened, bool reuse_port)
{
    unique_fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes,
                 sizeof(socket_buffer_bytes));
    ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes,
                 sizeof(socket_buffer_bytes));
    if (reuse_port)
    {
        ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
    const sockaddr_in bound = to_socket_address(address);
    if (!fd.is_open() ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0)
    {
        return make_failure(error_kind::invalid_settings,
                            "UDP address " + to_string(address) +
                                " can't be bound: " + std::strerror(errno));
    }
    opened = std::move(fd);
    return {};
}

unique_fd connect_udp_socket(const endpoint& peer, std::uint16_t local_port)
{
    unique_fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = to_socket_address(peer);
    if (local_port != 0)
    {
        const sockaddr_in local_address = to_socket_address({0, local_port});
        if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&local_address),
                   sizeof(local_address)) != 0)
        {
            fd.reset();
        }
    }
    if (fd.is_open() &&
        ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    {
        fd.reset();
    }
    return fd;
}

void enable_error_queue(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_IP, IP_RECVERR, &on, sizeof(on));
}

bool enable_arrival_times(int fd)
{
    const int on = 1;
    return ::setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on)) == 0;
}

endpoint pop_unreachable_peer(int fd)
{
    sockaddr_in receiver{};
    std::array<char, 512> control{};
    char byte = 0;
    iovec iov{&byte, 1};
    msghdr message{};
    message.msg_name = &receiver;
    message.msg_namelen = sizeof(receiver);
    message.msg_iov = &iov;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t size = ::recvmsg(fd, &message, MSG_ERRQUEUE | MSG_DONTWAIT);
    return size < 0 ? endpoint{} : from_socket_address(receiver);
}

std::uint16_t local_port_of(int fd)
{
    sockaddr_in local_address{};
    socklen_t size = sizeof(local_address);
    return ::getsockname(fd, reinterpret_cast<sockaddr*>(&local_address), &size) == 0
               ? ntohs(local_address.sin_port)
               : std::uint16_t{0};
}

receive_batch::receive_batch() : buffers_(batch_size)
{
    for (std::size_t i = 0; i < batch_size; ++i)
    {
        iovecs_[i] = {buffers_[i].data(), buffers_[i].size()};
        messages_[i].msg_hdr.msg_iov = &iovecs_[i];
        messages_[i].msg_hdr.msg_iovlen = 1;
        messages_[i].msg_hdr.msg_name = &senders_[i];
    }
}

std::size_t receive_batch::receive(int fd)
{
    for (std::size_t i = 0; i < batch_size; ++i)
    {
        messages_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        messages_[i].msg_hdr.msg_control = arrival_times_[i].bytes.data();
        messages_[i].msg_hdr.msg_controllen = arrival_times_[i].bytes.size();
    }
    const int received = ::recvmmsg(fd, messages_.data(), batch_size, MSG_DONTWAIT, nullptr);
    if (received <= 0)
    {
        return 0;
    }
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    for (std::size_t i = 0; i < static_cast<std::size_t>(received); ++i)
    {
        waited_[i] = waiting_time(messages_[i].msg_hdr, now);
    }
    return static_cast<std::size_t>(received);
}

send_batch::send_batch() : headers_(batch_size)
{
    for (std::size_t i = 0; i < batch_size; ++i)
    {
        messages_[i].msg_hdr.msg_iov = iovecs_[i].data();
        messages_[i].msg_hdr.msg_iovlen = 2;
        messages_[i].msg_hdr.msg_name = &receivers_[i];
        messages_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

void send_batch::add(const endpoint& to, std::size_t header_size, std::string_view body)
{
    receivers_[count_] = to_socket_address(to);
    iovecs_[count_][0] = {headers_[count_].data(), header_size};
    iovecs_[count_][1] = {const_cast<char*>(body.data()), body.size()};
    ++count_;
}

std::size_t send_batch::flush(int fd)
{
    std::size_t done = 0;
    std::size_t failed = 0;
    while (done < count_)
    {
        const int sent = ::sendmmsg(fd, &messages_[done], static_cast<unsigned>(count_ - done), 0);
        if (sent > 0)
        {
            done += static_cast<std::size_t>(sent);
            continue;
        }
        ++done; // Skips the datagram that failed and sends the rest.
        ++failed;
    }
    count_ = 0;
    return failed;
}

} // namespace carawayshelf
