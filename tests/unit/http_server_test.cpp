/** @file
    The HTTP server under handlers that answer twice, and at a planned stop.
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

/** A server whose handler keeps the responders, and a caller with one connection. */
struct http_bench
{
    http_bench()
        : server(io, [this](const http_request& /*request*/, const http_responder& respond)
                 { responders.push_back(respond); }),
          caller(io)
    {
        BOOST_REQUIRE(!server.start(address));
        caller.connect(to_asio(address));
    }

    void run()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
    }

    void send(const std::string& text)
    {
        boost::asio::write(caller, boost::asio::buffer(text));
        run();
    }

    /** What has arrived by now. */
    std::string receive()
    {
        run();
        std::string text(caller.available(), '\0');
        caller.read_some(boost::asio::buffer(text));
        return text;
    }

    boost::asio::io_context io;
    std::vector<http_responder> responders;
    http_server server;
    boost::asio::ip::tcp::socket caller;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_servers)

BOOST_AUTO_TEST_CASE(a_second_answer_does_not_reach_the_next_request_of_the_connection)
{
    http_bench bench;
    bench.send(get);
    BOOST_REQUIRE_EQUAL(bench.responders.size(), 1U);
    bench.responders[0]({200, "text/plain", "first"});
    const std::string first = bench.receive();
    BOOST_TEST(first.find("first") != std::string::npos);
    bench.send(get);
    BOOST_REQUIRE_EQUAL(bench.responders.size(), 2U);
    bench.responders[0]({200, "text/plain", "late copy"});
    bench.run();
    BOOST_TEST(bench.caller.available() == 0U);
    bench.responders[1]({200, "text/plain", "second"});
    const std::string second = bench.receive();
    BOOST_TEST(second.find("second") != std::string::npos);
    BOOST_TEST(second.find("late copy") == std::string::npos);
    BOOST_TEST(bench.server.answers().at(200) == 2U);
}

/** So an answer that breaks off halfway doesn't look complete. */
BOOST_AUTO_TEST_CASE(an_answer_states_its_length)
{
    http_bench bench;
    bench.send(get);
    const std::string body(5000, 'x');
    bench.responders[0]({200, "text/plain", body});
    const std::string answer = bench.receive();
    BOOST_TEST(answer.find("Content-Length: 5000\r\n") != std::string::npos);
    BOOST_TEST(answer.size() > body.size());
    BOOST_TEST(answer.find("chunked") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_answers_what_is_under_way_and_refuses_the_rest)
{
    http_bench bench;
    bench.send(get);
    BOOST_TEST(bench.server.under_way() == 1U);
    bench.server.begin_stop();
    bench.run();
    bench.responders[0]({200, "text/plain", "accepted before"});
    const std::string answer = bench.receive();
    BOOST_TEST(answer.find("200 OK") != std::string::npos);
    BOOST_TEST(answer.find("accepted before") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(bench.server.under_way() == 0U);
    boost::asio::ip::tcp::socket other(bench.io);
    boost::system::error_code error;
    other.connect(to_asio(address), error);
    BOOST_TEST(!!error);
}

BOOST_AUTO_TEST_CASE(a_request_on_an_open_connection_is_refused_at_once_during_a_stop)
{
    http_bench bench;
    bench.run();
    bench.server.begin_stop();
    bench.send(get);
    BOOST_TEST(bench.responders.empty());
    BOOST_TEST(bench.receive().find("503") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace carawayshelf
