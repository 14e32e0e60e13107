#include "carawayshelf_io/control_daemon.hpp"

#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/json_log.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace carawayshelf
{

failure run_control(const control_settings& settings)
{
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&io](const boost::system::error_code& error, int /*signal*/)
        {
            if (!error)
            {
                // Everything acknowledged is synced, so there is nothing to wait for.
                log_info("stops");
                io.stop();
            }
        });
    control_server server(io, settings);
    metrics_page metrics;
    if (failure failed = metrics.start(settings.metrics, [&server] { return server.samples(); }))
    {
        return failed;
    }
    if (failure failed = server.start())
    {
        return failed;
    }
    io.run();
    return server.stop_reason();
}

} // namespace carawayshelf
