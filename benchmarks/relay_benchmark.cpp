/** @file
    Compares the throughput of one balancer worker with that of a plain echo thread, in one run.

    A sender keeps a window of datagrams outstanding. Bare echo: the datagrams go to an echo thread
    and back. Relay: they go through the balancer worker to an agent stand-in that answers at once,
    and back through the worker. Prints the datagrams per second that the echo thread or the worker
    handles; the worker handles two for each answer.
*/
#include "carawayshelf_io/balancer_worker.hpp"
#include "carawayshelf_io/udp_socket.hpp"

#include <ctime>
#include <poll.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

namespace carawayshelf::benchmarks
{

namespace
{

constexpr int window = 256;
constexpr std::chrono::seconds run_time(3);
constexpr std::size_t datagram_bytes = 64;
const endpoint echo_address{0x7F000A01, 7500};
const endpoint service_address{0x7F000A02, 7501};
const endpoint balancer_data{0x7F000A03, 7502};
const endpoint agent_data{0x7F000A04, 7503};

void wait_for(int fd)
{
    pollfd watched{fd, POLLIN, 0};
    ::poll(&watched, 1, 20);
}

/** Answers every datagram at once, in batches, until is_done is set.
    @param has_envelope  whether datagrams and answers are in envelopes */
void echo(int fd, bool has_envelope, const std::atomic<bool>& is_done)
{
    receive_batch received;
    send_batch sent;
    while (!is_done)
    {
        wait_for(fd);
        const std::size_t count = received.receive(fd);
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::string_view bytes = received.datagram(i);
            if (!has_envelope)
            {
                sent.add(received.sender(i), 0, bytes);
                continue;
            }
            envelope header;
            std::size_t header_size = 0;
            decode_envelope(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
                            header, header_size);
            header.kind = envelope_kind::to_caller;
            sent.add(header.reply_to, encode_envelope(header, sent.header_buffer()),
                     bytes.substr(header_size));
        }
        if (!sent.is_empty())
        {
            sent.flush(fd);
        }
    }
}

/** Keeps a window of datagrams outstanding. Returns how many came back per second. */
double measure(const endpoint& to)
{
    unique_fd fd;
    open_udp_socket({0x7F000A05, 7504}, fd);
    receive_batch received;
    send_batch sent;
    const std::string body(datagram_bytes, 'x');
    std::uint64_t returned = 0;
    int outstanding = 0;
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < run_time)
    {
        while (outstanding < window)
        {
            for (; outstanding < window && !sent.is_full(); ++outstanding)
            {
                sent.add(to, 0, body);
            }
            sent.flush(fd.get());
        }
        wait_for(fd.get());
        std::size_t count = received.receive(fd.get());
        if (count == 0)
        {
            outstanding = 0; // The outstanding datagrams are lost.
        }
        for (; count > 0; count = received.receive(fd.get()))
        {
            returned += count;
            outstanding -= static_cast<int>(count);
        }
    }
    return static_cast<double>(returned) / std::chrono::duration<double>(run_time).count();
}

double measure_bare()
{
    unique_fd fd;
    open_udp_socket(echo_address, fd);
    std::atomic<bool> is_done{false};
    std::thread thread([&] { echo(fd.get(), false, is_done); });
    const double rate = measure(echo_address);
    is_done = true;
    thread.join();
    return rate;
}

double measure_relay()
{
    unique_fd agent;
    open_udp_socket(agent_data, agent);
    std::atomic<bool> is_done{false};
    std::thread thread([&] { echo(agent.get(), true, is_done); });
    balancer_counters counters;
    balancer_worker worker(balancer_data, counters);
    worker.start();
    routing_table::builder builder(1);
    builder.add_member({1, agent_data, 0});
    bucket_row row;
    row.owner = 1;
    row.changed_at = 1;
    builder.add_service(1, service_address, std::vector<bucket_row>(buckets_per_service, row));
    std::shared_ptr<balancer_view> view = std::make_shared<balancer_view>();
    view->table = builder.build();
    view->sockets[1] = std::make_shared<unique_fd>();
    open_udp_socket(service_address, *view->sockets[1]);
    worker.set_view(view);
    const double rate = measure(service_address);
    worker.stop();
    is_done = true;
    thread.join();
    return rate;
}

} // namespace

} // namespace carawayshelf::benchmarks

int main()
{
    using namespace carawayshelf::benchmarks;
    for (int round = 1; round <= 3; ++round)
    {
        const double bare = measure_bare();
        const double relay = 2.0 * measure_relay();
        std::printf("round %d: bare echo %.0f datagrams/s, relay %.0f datagrams/s, ratio %.2f\n",
                    round, bare, relay, relay / bare);
    }
    return 0;
}
