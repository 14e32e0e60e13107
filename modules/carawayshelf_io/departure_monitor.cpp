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
    close_socket();
}

void departure_monitor::close_socket()
{
    if (socket_)
    {
        boost::system::error_code ignored; // Nothing was sent that could be lost.
        std::exchange(socket_, nullptr)->close(ignored);
    }
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
    if (!on_end_)
    {
        return; // Stopped after the timer had expired.
    }
    if (steady_now() - started_at_ >= timeout)
    {
        end();
        return;
    }
    close_socket();
    const std::shared_ptr<boost::asio::ip::tcp::socket> socket =
        std::make_shared<boost::asio::ip::tcp::socket>(io_);
    socket_ = socket;
    socket->async_connect(to_asio(server_),
                          [this, socket](const boost::system::error_code& error)
                          {
                              if (socket_ != socket)
                              {
                                  return; // Stopped, or the next check has started.
                              }
                              close_socket();
                              if (error == boost::asio::error::connection_refused)
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
