#pragma once

#include "carawayshelf_io/udp_socket.hpp"
#include "carawayshelf_packets/packet_counters.hpp"
#include "carawayshelf_packets/packet_format.hpp"
#include "carawayshelf_packets/packet_port.hpp"

#include <string_view>

namespace carawayshelf
{

/** The packet_port of a packet balancer or packet agent: sends through UDP sockets, in batches. Not
    thread-safe. */
class packet_sockets : public packet_port
{
public:
    /** @param format       must outlive this object
        @param client_port  UDP port on which every client's router receives
        @param counters     must outlive this object */
    packet_sockets(const packet_format& format, std::uint16_t client_port,
                   packet_counters& counters);

    /** Opens the sockets.
        @param data         local address towards balancers, agents and clients
        @param server_side  local address towards the backend server; none for a balancer
        @param server       address of the backend server
        Errors: invalid_settings. */
    failure open(const endpoint& data, const endpoint& server_side, const endpoint& server);

    void send_envelope(const endpoint& to, const packet_envelope& envelope,
                       std::string_view packet) override;
    void send_to_client(std::uint32_t client_address, std::string_view packet) override;
    void send_reset(const packet_flow& flow, std::uint32_t sequence) override;
    void send_to_server(std::string_view packet) override;

    void flush() override;

    int data_fd() const
    {
        return data_socket_.get();
    }

    int server_side_fd() const
    {
        return server_side_socket_.get();
    }

private:
    void flush_batch(send_batch& batch, int fd);

    const packet_format& format_;
    std::uint16_t client_port_;
    packet_counters& counters_;
    endpoint server_address_;
    unique_fd data_socket_;
    unique_fd server_side_socket_;
    send_batch to_network_;
    send_batch to_server_;
};

} // namespace carawayshelf
