#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_core/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace carawayshelf
{

/** Finds out when a backend server that has announced its departure has ended: its address refuses
    TCP connections then. A connection that is accepted is closed at once. All calls on the
    io_context's thread. */
class departure_monitor
{
public:
    using end_handler = std::function<void()>;

    static constexpr std::chrono::milliseconds check_interval{200};

    /** A server that has not ended after this is taken for ended: longer than the users' flows,
        which last 60 s at most. */
    static constexpr duration timeout = std::chrono::seconds(75);

    departure_monitor(boost::asio::io_context& io, const endpoint& server);

    /** Watches the server. Calls the handler once, when the server has ended. A second call
        replaces the first one. */
    void start(end_handler on_end);

    void stop();

private:
    void schedule_check();
    void check();
    void close_socket();
    void end();

    boost::asio::io_context& io_;
    endpoint server_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_; ///< Of the current check, or null.
    end_handler on_end_;
    time_point started_at_;
};

} // namespace carawayshelf
