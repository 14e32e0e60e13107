#include "carawayshelf_io/control_daemon.hpp"

#include "carawayshelf_io/control_address_source.hpp"
#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <boost/asio/steady_timer.hpp>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds poll_interval(10);

/** Requests that are still pending this long after a planned stop began get no reply; their senders
    repeat them at another instance. */
constexpr duration stop_timeout = std::chrono::seconds(1);

/** The same for leaving the voters; long enough for an election and two changes of the voters. */
constexpr duration leave_timeout = std::chrono::seconds(3);

/** Stops a control instance gracefully: accepts no new operator requests, answers the pending ones,
    leaves the voters if enough others remain, then stops the io_context. A second begin() stops at
    once. All calls run on the io_context's thread. */
class graceful_stop
{
public:
    graceful_stop(boost::asio::io_context& io, control_server& server, http_server& operator_server)
        : io_(io), server_(server), operator_server_(operator_server), timer_(io)
    {
    }

    void begin()
    {
        if (began_at_ != time_point())
        {
            io_.stop();
            return;
        }
        log_info("stopping: accepts no new operator requests, " +
                 std::to_string(operator_server_.pending_requests()) + " pending");
        began_at_ = steady_now();
        operator_server_.begin_stop();
        server_.begin_stop();
        stop_when_idle();
    }

private:
    void stop_when_idle()
    {
        const duration waited = steady_now() - began_at_;
        const bool is_idle =
            operator_server_.pending_requests() == 0 && !server_.has_pending_requests();
        const bool has_left = !server_.is_leaving_voters();
        if ((is_idle || waited >= stop_timeout) && (has_left || waited >= leave_timeout))
        {
            if (!has_left)
            {
                log_warning("stopping as a voter: no leader has removed this instance in time");
            }
            log_info("stopped, " + std::to_string(operator_server_.pending_requests()) +
                     " operator requests unanswered");
            io_.stop();
            return;
        }
        timer_.expires_after(poll_interval);
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
    control_server& server_;
    http_server& operator_server_;
    boost::asio::steady_timer timer_;
    time_point began_at_;
};

} // namespace

failure run_control(const control_settings& settings, const platform_binding& platform)
{
    log_info("starting control instance " + std::to_string(settings.slot) + ", data folder " +
             settings.data_folder);
    boost::asio::io_context io;
    control_server server(io, settings);
    http_server operator_server(
        io, [&server, &platform](const http_request& request, const http_responder& respond)
        { platform.handle_operator_request(server, request, respond); });
    operator_server.reject_abandoned_requests(server.pauses());
    graceful_stop stop(io, server, operator_server);
    control_address_source seeds(settings.file, settings.peers,
                                 [&server](const std::vector<endpoint>& addresses)
                                 { server.set_seeds(addresses); });
    server.set_leaderless_handler([&seeds] { seeds.reload(); });
    daemon_signals signals(
        io, [&stop] { stop.begin(); }, [&seeds] { seeds.reload(); });
    metrics_page metrics(io);
    const metrics_page::source samples = [&server, &operator_server]
    {
        std::vector<metric_sample> all = server.samples();
        add_http_status_samples(all, "control_orders_answered_total", operator_server);
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
        if (failure failed = operator_server.start(settings.orders_address))
        {
            return failed;
        }
    }
    io.run();
    return server.stop_reason();
}

} // namespace carawayshelf
