#include "carawayshelf_io/control_daemon.hpp"

#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/json_log.hpp"

namespace carawayshelf
{

failure run_control(const control_settings& settings, const platform_binding& platform)
{
    log_info("starts as control instance " + std::to_string(settings.slot) + ", data folder " +
             settings.data_folder);
    boost::asio::io_context io;
    daemon_signals signals(io,
                           [&io]
                           {
                               // Everything acknowledged is synced, so there is nothing to wait
                               // for.
                               log_info("stops");
                               io.stop();
                           });
    control_server server(io, settings);
    http_server orders(
        io, [&server, &platform](const http_request& request, const http_responder& respond)
        { platform.handle_order(server, request, respond); });
    metrics_page metrics(io);
    const metrics_page::source samples = [&server, &orders]
    {
        std::vector<metric_sample> all = server.samples();
        add_answer_samples(all, "control_orders_answered_total", orders);
        return all;
    };
    if (failure failed = metrics.start(settings.metrics, samples))
    {
        return failed;
    }
    if (failure failed = server.start())
    {
        return failed;
    }
    if (!settings.orders.is_none())
    {
        if (failure failed = orders.start(settings.orders))
        {
            return failed;
        }
    }
    io.run();
    return server.stop_reason();
}

} // namespace carawayshelf
