#include "carawayshelf_io/control_daemon.hpp"

#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <boost/asio/steady_timer.hpp>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds look_interval(10);

/** Requests whose outcome takes longer than this at a planned stop get none; others are repeated by
    their callers at another instance. */
constexpr duration longest_stop = std::chrono::seconds(1);

/** A planned stop of a control instance: no new orders, those under way are answered, then it ends.
    All calls run on the io_context's thread. */
class graceful_stop
{
public:
    graceful_stop(boost::asio::io_context& io, const control_server& server, http_server& orders)
        : io_(io), server_(server), orders_(orders), timer_(io)
    {
    }

    void begin()
    {
        if (began_ != time_point())
        {
            io_.stop();
            return;
        }
        log_info("stops: takes no more orders, " + std::to_string(orders_.pending_requests()) +
                 " under way");
        began_ = steady_now();
        orders_.begin_stop();
        stop_when_idle();
    }

private:
    void stop_when_idle()
    {
        const bool is_idle = orders_.pending_requests() == 0 && !server_.has_requests_under_way();
        if (is_idle || steady_now() - began_ >= longest_stop)
        {
            log_info("stops, " + std::to_string(orders_.pending_requests()) + " orders unanswered");
            io_.stop();
            return;
        }
        timer_.expires_after(look_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    stop_when_idle();
                }
            });
    }

    boost::asio::io_context& io_;
    const control_server& server_;
    http_server& orders_;
    boost::asio::steady_timer timer_;
    time_point began_;
};

} // namespace

failure run_control(const control_settings& settings, const platform_binding& platform)
{
    log_info("starts as control instance " + std::to_string(settings.slot) + ", data folder " +
             settings.data_folder);
    boost::asio::io_context io;
    control_server server(io, settings);
    http_server orders(
        io, [&server, &platform](const http_request& request, const http_responder& respond)
        { platform.handle_operator_request(server, request, respond); });
    graceful_stop stop(io, server, orders);
    daemon_signals signals(io, [&stop] { stop.begin(); });
    metrics_page metrics(io);
    const metrics_page::source samples = [&server, &orders]
    {
        std::vector<metric_sample> all = server.samples();
        add_http_status_samples(all, "control_orders_answered_total", orders);
        return all;
    };
    if (failure failed = metrics.start(settings.metrics_address, samples))
    {
        return failed;
    }
    if (failure failed = server.start())
    {
        return failed;
    }
    if (!settings.orders_address.is_none())
    {
        if (failure failed = orders.start(settings.orders_address))
        {
            return failed;
        }
    }
    io.run();
    return server.stop_reason();
}

} // namespace carawayshelf
