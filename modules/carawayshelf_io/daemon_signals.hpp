#pragma once

#include "carawayshelf_io/json_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <utility>

namespace carawayshelf
{

/** Handles the signals of a daemon: each SIGTERM or SIGINT calls the stop handler, and each SIGHUP,
    which means that the settings file has changed, the reload handler. All handlers are called on
    the io_context's thread. */
class daemon_signals
{
public:
    daemon_signals(boost::asio::io_context& io, std::function<void()> on_stop,
                   std::function<void()> on_reload)
        : signals_(io, SIGTERM, SIGINT, SIGHUP), on_stop_(std::move(on_stop)),
          on_reload_(std::move(on_reload))
    {
        wait_next();
    }

private:
    void wait_next()
    {
        signals_.async_wait(
            [this](const boost::system::error_code& error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    log_info("SIGHUP: reading the addresses of the control instances; other "
                             "settings take effect at the next start");
                    on_reload_();
                }
                else
                {
                    on_stop_();
                }
                wait_next();
            });
    }

    boost::asio::signal_set signals_;
    std::function<void()> on_stop_;
    std::function<void()> on_reload_;
};

} // namespace carawayshelf
