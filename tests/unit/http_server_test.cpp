/** @file
    The HTTP server: handlers that respond twice, a planned stop, and requests whose senders may
   have given up.
*/
#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

namespace carawayshelf
{

namespace
{

const endpoint address{0x7F000101, 17311};
const std::string get = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n";

/** A server whose handler stores the responders, and a client with one connection. */
struct http_fixture
{
    http_fixture()
        : server(io, [this](const http_request& /*request*/, const http_responder& respond)
                 { responders.push_back(respond); }),
          client(io)
    {
        BOOST_REQUIRE(!server.start(address));
        client.connect(to_asio(address));
    }

    void run()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
    }

    void send(const std::string& text)
    {
        boost::asio::write(client, boost::asio::buffer(text));
        run();
    }

    /** Returns the bytes that have arrived so far. */
    std::string receive()
    {
        run();
        std::string text(client.available(), '\0');
        client.read_some(boost::asio::buffer(text));
        return text;
    }

    boost::asio::io_context io;
    std::vector<http_responder> responders;
    http_server server;
    boost::asio::ip::tcp::socket client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_servers)

BOOST_AUTO_TEST_CASE(a_second_response_is_not_sent_for_the_next_request)
{
    http_fixture fixture;
    fixture.send(get);
    BOOST_REQUIRE_EQUAL(fixture.responders.size(), 1U);
    fixture.responders[0]({200, "text/plain", "first"});
    const std::string first = fixture.receive();
    BOOST_TEST(first.find("first") != std::string::npos);
    fixture.send(get);
    BOOST_REQUIRE_EQUAL(fixture.responders.size(), 2U);
    fixture.responders[0]({200, "text/plain", "late copy"});
    fixture.run();
    BOOST_TEST(fixture.client.available() == 0U);
    fixture.responders[1]({200, "text/plain", "second"});
    const std::string second = fixture.receive();
    BOOST_TEST(second.find("second") != std::string::npos);
    BOOST_TEST(second.find("late copy") == std::string::npos);
    BOOST_TEST(fixture.server.response_counts().at(200) == 2U);
}

/** Guards against a response that is cut off halfway and looks complete to the client. */
BOOST_AUTO_TEST_CASE(a_response_states_its_content_length)
{
    http_fixture fixture;
    fixture.send(get);
    const std::string body(5000, 'x');
    fixture.responders[0]({200, "text/plain", body});
    const std::string answer = fixture.receive();
    BOOST_TEST(answer.find("Content-Length: 5000\r\n") != std::string::npos);
    BOOST_TEST(answer.size() > body.size());
    BOOST_TEST(answer.find("chunked") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_answers_pending_requests_and_refuses_new_connections)
{
    http_fixture fixture;
    fixture.send(get);
    BOOST_TEST(fixture.server.pending_requests() == 1U);
    fixture.server.begin_stop();
    fixture.run();
    fixture.responders[0]({200, "text/plain", "accepted before"});
    const std::string answer = fixture.receive();
    BOOST_TEST(answer.find("200 OK") != std::string::npos);
    BOOST_TEST(answer.find("accepted before") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(fixture.server.pending_requests() == 0U);
    boost::asio::ip::tcp::socket other(fixture.io);
    boost::system::error_code error;
    other.connect(to_asio(address), error);
    BOOST_TEST(!!error);
}

BOOST_AUTO_TEST_CASE(a_request_on_an_open_connection_is_refused_at_once_during_a_stop)
{
    http_fixture fixture;
    fixture.run();
    fixture.server.begin_stop();
    fixture.send(get);
    BOOST_TEST(fixture.responders.empty());
    BOOST_TEST(fixture.receive().find("503") != std::string::npos);
}

/** An operator's order was carried out after a frozen control instance had continued, although the
    operator had given it to another instance meanwhile. */
BOOST_AUTO_TEST_CASE(a_request_is_not_carried_out_after_its_sender_closed_the_connection)
{
    http_fixture fixture;
    pause_monitor pauses;
    fixture.server.reject_abandoned_requests(pauses);
    fixture.run();
    boost::asio::write(fixture.client, boost::asio::buffer(get));
    fixture.client.close();
    fixture.run();
    BOOST_TEST(fixture.responders.empty());
    BOOST_TEST(fixture.server.response_counts().at(503) == 1U);
}

/** The close of a connection reaches a machine that was suspended later than the request. */
BOOST_AUTO_TEST_CASE(requests_that_may_have_waited_in_a_pause_are_rejected)
{
    time_point instant{std::chrono::seconds(1000)};
    pause_monitor pauses([&instant] { return instant; });
    http_fixture fixture;
    fixture.server.reject_abandoned_requests(pauses);
    fixture.send(get);
    BOOST_REQUIRE_EQUAL(fixture.responders.size(), 1U);
    fixture.responders[0]({200, "text/plain", "before"});
    BOOST_TEST(fixture.receive().find("200") != std::string::npos);
    instant += std::chrono::seconds(6);
    fixture.send(get);
    BOOST_TEST(fixture.responders.size() == 1U);
    const std::string rejection = fixture.receive();
    BOOST_TEST(rejection.find("503") != std::string::npos);
    BOOST_TEST(rejection.find("Connection: close") != std::string::npos);
    // A connection from the time after the pause.
    instant += std::chrono::milliseconds(499);
    pauses.note();
    instant += std::chrono::milliseconds(1);
    boost::asio::ip::tcp::socket later(fixture.io);
    later.connect(to_asio(address));
    boost::asio::write(later, boost::asio::buffer(get));
    fixture.run();
    BOOST_TEST(fixture.responders.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_handler_learns_that_the_caller_has_given_up)
{
    time_point instant{std::chrono::seconds(1000)};
    pause_monitor pauses([&instant] { return instant; });
    boost::asio::io_context io;
    std::vector<caller_check> checks;
    http_server server(io, [&checks](const http_request& request, const http_responder&)
                       { checks.push_back(request.is_caller_waiting); });
    server.reject_abandoned_requests(pauses);
    BOOST_REQUIRE(!server.start(address));
    std::vector<boost::asio::ip::tcp::socket> clients;
    for (int i = 0; i < 2; ++i)
    {
        clients.emplace_back(io);
        clients.back().connect(to_asio(address));
        boost::asio::write(clients.back(), boost::asio::buffer(get));
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
    }
    BOOST_REQUIRE_EQUAL(checks.size(), 2U);
    BOOST_TEST(checks[0]());
    clients[0].close();
    BOOST_TEST(!checks[0]());
    BOOST_TEST(checks[1]());
    instant += pause_monitor::min_pause;
    BOOST_TEST(!checks[1]());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pause_monitors)

BOOST_AUTO_TEST_CASE(short_gaps_are_ignored)
{
    time_point instant{std::chrono::seconds(1000)};
    pause_monitor pauses([&instant] { return instant; });
    const time_point opened_at = pauses.note();
    instant += pause_monitor::min_pause - duration(1);
    BOOST_TEST(!pauses.may_have_waited(opened_at));
}

BOOST_AUTO_TEST_CASE(doubt_lasts_as_long_as_the_pause)
{
    time_point instant{std::chrono::seconds(1000)};
    pause_monitor pauses([&instant] { return instant; });
    const time_point opened_at = pauses.note();
    const duration step = std::chrono::milliseconds(400);
    instant += step * 5;
    BOOST_TEST(pauses.may_have_waited(opened_at));
    for (int i = 0; i < 4; ++i)
    {
        instant += step;
        BOOST_TEST(pauses.may_have_waited(opened_at));
    }
    instant += step;
    BOOST_TEST(!pauses.may_have_waited(opened_at));
}

/** A control instance that took long to load its data rejected the first requests of operators. */
BOOST_AUTO_TEST_CASE(the_time_before_the_first_look_is_no_pause)
{
    time_point instant{std::chrono::seconds(1000)};
    pause_monitor pauses([&instant] { return instant; });
    instant += std::chrono::seconds(6);
    const time_point opened_at = pauses.note();
    BOOST_TEST(!pauses.may_have_waited(opened_at));
}

/** A second, shorter pause does not end the doubt that the first one left. */
BOOST_AUTO_TEST_CASE(the_longest_doubt_counts)
{
    time_point instant{std::chrono::seconds(1000)};
    pause_monitor pauses([&instant] { return instant; });
    const time_point opened_at = pauses.note();
    instant += std::chrono::seconds(6);
    pauses.note();
    instant += std::chrono::milliseconds(600);
    pauses.note();
    for (int i = 0; i < 10; ++i)
    {
        instant += std::chrono::milliseconds(400);
        pauses.note();
    }
    BOOST_TEST(pauses.may_have_waited(opened_at));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
