#include "carawayshelf_io/packet_sockets.hpp"

#include "carawayshelf_io/json_log.hpp"

namespace carawayshelf
{

static_assert(max_packet_envelope_bytes <= send_batch::max_header_bytes &&
                  packet_format::max_reset_bytes <= send_batch::max_header_bytes,
              "envelope headers and resets must fit into a header buffer of send_batch");

packet_sockets::packet_sockets(const packet_format& format, std::uint16_t client_port,
                               packet_counters& counters)
    : format_(format), client_port_(client_port), counters_(counters)
{
}

failure packet_sockets::open(const endpoint& data, const endpoint& server_side,
                             const endpoint& server)
{
    if (failure failed = open_udp_socket(data, data_socket_))
    {
        return failed;
    }
    if (!enable_arrival_times(data_socket_.get()))
    {
        log_info("this system doesn't record when datagrams arrive; packets that wait in socket "
                 "buffers count as having just arrived");
    }
    server_address_ = server;
    return server_side.is_none() ? failure{} : open_udp_socket(server_side, server_side_socket_);
}

void packet_sockets::send_envelope(const endpoint& to, const packet_envelope& envelope,
                                   std::string_view packet)
{
    if (to_network_.is_full())
    {
        flush_batch(to_network_, data_socket_.get());
    }
    const std::size_t size = encode_packet_envelope(envelope, to_network_.header_buffer());
    to_network_.add(to, size, packet);
    counters_.sent_envelopes.add(envelope.kind);
    counters_.sent_envelope_bytes.add(envelope.kind, size + packet.size());
}

void packet_sockets::send_to_client(std::uint32_t client_address, std::string_view packet)
{
    if (to_network_.is_full())
    {
        flush_batch(to_network_, data_socket_.get());
    }
    to_network_.add({client_address, client_port_}, 0, packet);
}

void packet_sockets::send_reset(const packet_flow& flow, std::uint32_t sequence)
{
    if (to_network_.is_full())
    {
        flush_batch(to_network_, data_socket_.get());
    }
    const std::size_t size = format_.encode_reset(flow, sequence, to_network_.header_buffer());
    to_network_.add({flow.client.address, client_port_}, size, {});
}

void packet_sockets::send_to_server(std::string_view packet)
{
    if (to_server_.is_full())
    {
        flush_batch(to_server_, server_side_socket_.get());
    }
    to_server_.add(server_address_, 0, packet);
}

void packet_sockets::flush()
{
    flush_batch(to_network_, data_socket_.get());
    flush_batch(to_server_, server_side_socket_.get());
}

void packet_sockets::flush_batch(send_batch& batch, int fd)
{
    if (batch.is_empty())
    {
        return;
    }
    const std::size_t failed = batch.flush(fd);
    for (std::size_t i = 0; i < failed; ++i)
    {
        counters_.drops.add(packet_drop::send_failed);
    }
}

} // namespace carawayshelf
