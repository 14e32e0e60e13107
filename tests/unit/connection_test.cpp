/** @file
    Invalid input on sockets: a malformed frame closes its connection, an invalid datagram is
    dropped and counted. Also the waiting time of datagrams and the storage of agents' restart
    states.
*/
#include "carawayshelf_io/balancer_worker.hpp"
#include "carawayshelf_io/departure_monitor.hpp"
#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/restart_state_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

namespace carawayshelf
{

namespace
{

using boost::asio::ip::tcp;

/** Sends bytes to a frame_connection and returns the reason for which it closed. */
failure close_reason(const std::string& bytes)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4(0x7F000B01), 0));
    tcp::socket peer(io);
    peer.connect(acceptor.local_endpoint());
    const std::shared_ptr<frame_connection> connection =
        std::make_shared<frame_connection>(acceptor.accept());
    failure reason;
    connection->start([](frame& /*received*/) {}, [&reason](const failure& why) { reason = why; });
    boost::asio::write(peer, boost::asio::buffer(bytes));
    io.run_for(std::chrono::seconds(5));
    return reason;
}

/** Waits up to 5 s for a counter to reach a value. Returns whether it equals the value then. */
template <typename Read>
bool counter_reaches(const Read& read, std::uint64_t wanted)
{
    for (int i = 0; i < 500 && read() < wanted; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return read() == wanted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(a_malformed_frame_closes_its_connection_with_a_typed_error)
{
    const failure garbage = close_reason(std::string("\0\0\0\x8garbage!", 12));
    BOOST_TEST((garbage.code == make_error_code(error_kind::malformed_frame)));
    const failure huge = close_reason("\xFF\xFF\xFF\xFF");
    BOOST_TEST((huge.code == make_error_code(error_kind::malformed_frame)));
    const failure empty = close_reason(std::string(4, '\0'));
    BOOST_TEST((empty.code == make_error_code(error_kind::malformed_frame)));
    BOOST_TEST(huge.message().find("same version") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_balancer_counts_dropped_datagrams)
{
    const endpoint service{0x7F000B02, 7601};
    const endpoint data{0x7F000B02, 7602};
    balancer_counters counters;
    balancer_worker worker(data, counters);
    BOOST_REQUIRE(!worker.start());
    routing_table::builder builder(1);
    builder.add_service(1, service, std::vector<bucket_row>(buckets_per_service));
    std::shared_ptr<balancer_view> view = std::make_shared<balancer_view>();
    view->table = builder.build();
    view->sockets[1] = std::make_shared<unique_fd>();
    BOOST_REQUIRE(!open_udp_socket(service, *view->sockets[1]));
    worker.set_view(view);
    const unique_fd caller = connect_udp_socket(service);
    const unique_fd other_sender = connect_udp_socket(data);
    const std::string long_datagram(max_datagram_bytes + 1, 'x');
    BOOST_TEST(::send(caller.get(), "ab", 2, 0) == 2);
    BOOST_TEST(::send(caller.get(), long_datagram.data(), long_datagram.size(), 0) > 0);
    BOOST_TEST(::send(caller.get(), "\x40\x01\x00\x01", 4, 0) == 4);
    BOOST_TEST(::send(other_sender.get(), "nonsense", 8, 0) == 8);
    BOOST_TEST(counter_reaches([&] { return counters.drops.total(); }, 4));
    worker.stop();
    BOOST_TEST(counters.drops.get(balancer_drop::too_short) == 1U);
    BOOST_TEST(counters.drops.get(balancer_drop::too_long) == 1U);
    BOOST_TEST(counters.drops.get(balancer_drop::no_owner) == 1U);
    BOOST_TEST(counters.drops.get(balancer_drop::malformed_envelope) == 1U);
}

BOOST_AUTO_TEST_CASE(a_departing_server_has_ended_once_its_address_refuses_connections)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    const endpoint server{0x7F000B04, 7604};
    tcp::acceptor listener(io, to_asio(server));
    departure_monitor monitor(io, server);
    int ends = 0;
    monitor.start([&ends] { ++ends; });
    io.run_for(departure_monitor::check_interval * 3);
    BOOST_TEST(ends == 0);
    listener.close();
    io.run_for(departure_monitor::check_interval * 3);
    BOOST_TEST(ends == 1);
    monitor.start([&ends] { ++ends; });
    monitor.stop();
    io.restart();
    io.run_for(departure_monitor::check_interval * 2);
    BOOST_TEST(ends == 1);
}

/** Otherwise it calls a handler that is gone. */
BOOST_AUTO_TEST_CASE(a_departure_monitor_that_is_stopped_after_its_timer_has_expired_checks_nothing)
{
    boost::asio::io_context io;
    departure_monitor monitor(io, {0x7F000B05, 7605}); // Nothing listens there.
    int ends = 0;
    // The timer, which expires first, is run after this one.
    boost::asio::steady_timer stopper(io, std::chrono::steady_clock::now());
    monitor.start([&ends] { ++ends; });
    stopper.async_wait([&monitor](const boost::system::error_code& /*error*/) { monitor.stop(); });
    std::this_thread::sleep_for(departure_monitor::check_interval * 2);
    BOOST_CHECK_NO_THROW(io.run_for(departure_monitor::check_interval * 2));
    BOOST_TEST(ends == 0);
}

BOOST_AUTO_TEST_CASE(the_time_that_datagrams_wait_in_a_socket_is_measured)
{
    const endpoint address{0x7F000B03, 7603};
    unique_fd receiver;
    BOOST_REQUIRE(!open_udp_socket(address, receiver));
    BOOST_REQUIRE(enable_arrival_times(receiver.get()));
    const unique_fd sender = connect_udp_socket(address);
    receive_batch received;
    bool is_measured = false;
    for (int i = 0; i < 100 && !is_measured; ++i) // The kernel starts to measure with a delay.
    {
        BOOST_TEST(::send(sender.get(), "first", 5, 0) == 5);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        BOOST_TEST(::send(sender.get(), "second", 6, 0) == 6);
        BOOST_REQUIRE(received.receive(receiver.get()) == 2U);
        is_measured = received.waited(0) >= std::chrono::milliseconds(30);
    }
    BOOST_TEST(is_measured);
    BOOST_TEST((received.waited(1) >= duration(0)));
    BOOST_TEST((received.waited(1) < received.waited(0)));
}

BOOST_AUTO_TEST_CASE(a_restart_state_is_claimed_once_and_expires)
{
    const time_point start{std::chrono::seconds(1000)};
    restart_state_store states;
    BOOST_TEST(states.store(start, "agent-1", "old"));
    BOOST_TEST(states.store(start, "agent-1", "new"));
    BOOST_TEST(states.claim(start, "agent-2").empty());
    BOOST_TEST(states.claim(start, "agent-1") == "new");
    BOOST_TEST(states.claim(start, "agent-1").empty());
    BOOST_TEST(states.store(start, "agent-1", "state"));
    BOOST_TEST(states.claim(start + restart_state_store::max_state_age, "agent-1").empty());
    BOOST_TEST(!states.store(start, "agent-1",
                             std::string(restart_state_store::max_total_bytes + 1, 'x')));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
