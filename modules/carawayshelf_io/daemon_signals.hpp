#pragma once

#include "carawayshelf_io/json_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <utility>

namespace carawayshelf
{

/** Handles the signals of a daemon: each SIGTERM or SIGINT calls the stop handler. SIGHUP, which
    means that the settings file has changed, is only logged. */
class daemon_signals
{
public:
    /** @param on_stop  called on the io_context's thread */
    daemon_signals(boost::asio::io_context& io, std::function<void()> on_stop)
        : signals_(io, SIGTERM, SIGINT, SIGHUP), on_stop_(std::move(on_stop))
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
                    // A running daemon gets the changes that it needs from control.
                    log_info("settings changed; they take effect at the next start");
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
};

} // namespace carawayshelf
