#include "carawayshelf_io/departure_monitor.hpp"

#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <utility>

namespace carawayshelf
{

departure_monitor::departure_monitor(boost::asio::io_context& io, const endpoint& server)
    : io_(io), server_(server), timer_(io)
{
}

void departure_monitor::start(end_handler on_end)
{
    stop();
    on_end_ = std::move(on_end);
    started_at_ = steady_now();
    schedule_check();
}

void departure_monitor::stop()
{
    on_end_ = nullptr;
    timer_.cancel();
    socket_ = nullptr;
}

void departure_monitor::schedule_check()
{
    timer_.expires_after(check_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                check();
            }
        });
}

void departure_monitor::check()
{
    if (steady_now() - started_at_ >= timeout)
    {
        end();
        return;
    }
    const std::shared_ptr<boost::asio::ip::tcp::socket> socket =
        std::make_shared<boost::asio::ip::tcp::socket>(io_);
    socket_ = socket; // Closes the socket of a check that has not ended.
    socket->async_connect(to_asio(server_),
                          [this, socket](const boost::system::error_code& error)
                          {
                              if (socket_ == socket &&
                                  error == boost::asio::error::connection_refused)
                              {
                                  end();
                              }
                          });
    schedule_check();
}

void departure_monitor::end()
{
    const end_handler on_end = std::move(on_end_);
    stop();
    on_end();
}

} // namespace carawayshelf
