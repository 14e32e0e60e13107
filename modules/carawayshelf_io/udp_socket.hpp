#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/unique_fd.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <string_view>
#include <vector>

namespace carawayshelf
{

sockaddr_in to_socket_address(const endpoint& value);
endpoint from_socket_address(const sockaddr_in& value);

/** Opens a non-blocking UDP socket bound to an address.
    @param reuse_port  lets several sockets share the address (SO_REUSEPORT); all must set it
    Errors: invalid_settings if the address can't be bound. */
failure open_udp_socket(const endpoint& address, unique_fd& opened, bool reuse_port = false);

/** Opens a non-blocking UDP socket connected to a peer. Returns a closed one on failure, with errno
    set.
    @param local_port  0 for a free port */
unique_fd connect_udp_socket(const endpoint& peer, std::uint16_t local_port = 0);

/** Enables the error queue of a socket (IP_RECVERR). It reports errors that receivers return, such
    as a closed port. */
void enable_error_queue(int fd);

/** Lets a socket record when each datagram arrives (SO_TIMESTAMPNS); see receive_batch::waited().
   The kernel may start with a delay; until then, datagrams count as having just arrived. Returns
   whether the system supports it. */
bool enable_arrival_times(int fd);

/** Removes one error from the error queue without blocking. Returns the receiver that could not be
    reached, or none if the queue is empty. */
endpoint pop_unreachable_peer(int fd);

/** Returns the local port of a socket, or zero if it has none. */
std::uint16_t local_port_of(int fd);

/** Maximum number of datagrams per recvmmsg or sendmmsg call. */
constexpr std::size_t batch_size = 32;

/** Longer datagrams are truncated on receipt and reported as such. */
constexpr std::size_t max_datagram_bytes = 2048;

/** Receives datagrams with recvmmsg into buffers that are allocated once. Not thread-safe. */
class receive_batch
{
public:
    receive_batch();

    /** Receives up to batch_size datagrams without blocking and returns their number. Invalidates
        those of the previous call. */
    std::size_t receive(int fd);

    std::string_view datagram(std::size_t index) const
    {
        return {buffers_[index].data(), messages_[index].msg_len};
    }

    /** The bytes of datagram(), for modification in place. */
    char* mutable_datagram(std::size_t index)
    {
        return buffers_[index].data();
    }

    endpoint sender(std::size_t index) const
    {
        return from_socket_address(senders_[index]);
    }

    /** How long the datagram waited in the socket's buffer; 0 unless arrival times are enabled. */
    duration waited(std::size_t index) const
    {
        return waited_[index];
    }

    /** Whether the datagram was longer than max_datagram_bytes. */
    bool is_truncated(std::size_t index) const
    {
        return (messages_[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
    }

private:
    struct alignas(cmsghdr) arrival_time_buffer
    {
        std::array<char, CMSG_SPACE(sizeof(timespec))> bytes;
    };

    std::vector<std::array<char, max_datagram_bytes>> buffers_;
    std::array<sockaddr_in, batch_size> senders_{};
    std::array<iovec, batch_size> iovecs_{};
    std::array<mmsghdr, batch_size> messages_{};
    std::array<arrival_time_buffer, batch_size> arrival_times_{};
    std::array<duration, batch_size> waited_{};
};

/** Collects datagrams for one sendmmsg call. Each consists of a header, which is stored here, and a
    body, which must stay valid until flush(). Allocates memory only in the constructor. Not
    thread-safe. */
class send_batch
{
public:
    static constexpr std::size_t max_header_bytes = 256;

    send_batch();

    /** Header buffer of the next datagram, max_header_bytes long. Precondition: not full. */
    std::uint8_t* header_buffer()
    {
        return headers_[count_].data();
    }

    /** Adds a datagram that consists of the header in header_buffer() and a body. Precondition: not
        full. */
    void add(const endpoint& to, std::size_t header_size, std::string_view body);

    bool is_full() const
    {
        return count_ == batch_size;
    }

    bool is_empty() const
    {
        return count_ == 0;
    }

    std::size_t size() const
    {
        return count_;
    }

    /** Sends and removes all datagrams. Returns the number that could not be sent. */
    std::size_t flush(int fd);

private:
    std::vector<std::array<std::uint8_t, max_header_bytes>> headers_;
    std::array<sockaddr_in, batch_size> receivers_{};
    std::array<std::array<iovec, 2>, batch_size> iovecs_{};
    std::array<mmsghdr, batch_size> messages_{};
    std::size_t count_ = 0;
};

} // namespace carawayshelf
