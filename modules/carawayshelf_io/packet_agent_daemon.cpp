#include "carawayshelf_io/packet_agent_daemon.hpp"

#include "carawayshelf_io/control_address_source.hpp"
#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/departure_monitor.hpp"
#include "carawayshelf_io/http_server.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/packet_agent_worker.hpp"
#include "carawayshelf_io/packet_metrics.hpp"
#include "carawayshelf_packets/server_membership.hpp"

#include <boost/asio/post.hpp>

#include <random>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds retry_delay(300);

/** Many times the length of an announcement; an agent has little memory. */
constexpr std::size_t max_announcement_bytes = std::size_t{64} * 1024;

/** The control thread of a packet agent: keeps its lease and its membership and receives the
    announcements of its backend server. Runs on the io_context's only thread. */
class packet_agent_daemon : public announcement_api, private membership_port
{
public:
    packet_agent_daemon(boost::asio::io_context& io, const agent_daemon_settings& settings,
                        const platform_binding& platform)
        : io_(io), settings_(settings),
          membership_({settings.name, settings.domain, settings.data_address}, *this),
          worker_(settings, platform.wire_format(), counters_),
          client_(
              io, settings.control_instances, [this] { return current_report(); },
              [this](const table_update& update) { handle_update(update); }),
          control_addresses_(settings.file, settings.control_instances,
                             [this](const std::vector<endpoint>& instances)
                             { client_.set_configured_instances(instances); }),
          announcement_server_(
              io,
              [this, &platform](const http_request& request, const http_responder& respond)
              { platform.handle_announcement(*this, request, respond); },
              max_announcement_bytes),
          readiness_server_(
              io,
              [this, &platform](const http_request& request, const http_responder& respond)
              { platform.handle_readiness(table_.held() != 0, request, respond); },
              max_announcement_bytes),
          retry_timer_(io), departure_monitor_(io, settings.server)
    {
    }

    failure start()
    {
        if (failure failed = worker_.start())
        {
            return failed;
        }
        if (failure failed = announcement_server_.start(settings_.announce_address))
        {
            return failed;
        }
        if (!settings_.ready_address.is_none())
        {
            if (failure failed = readiness_server_.start(settings_.ready_address))
            {
                return failed;
            }
        }
        client_.set_confirmation_handler(
            [this](time_point asked_at)
            {
                worker_.post([asked_at](time_point instant, packet_agent& core)
                             { core.confirm_table(instant, asked_at); });
            });
        client_.set_service(every_service);
        client_.set_unreachable_handler([this] { control_addresses_.reload(); });
        client_.start();
        log_info("packet agent started; envelopes at " + to_string(settings_.data_address) +
                 ", announcements at " + to_string(settings_.announce_address));
        return {};
    }

    /** Stops without draining: the backend server keeps running with its flows, where the next
        incarnation of the agent finds them. */
    void begin_stop()
    {
        log_info("stops");
        io_.stop();
    }

    /** Reads the addresses of the control instances from the settings file again. */
    void reload()
    {
        control_addresses_.reload();
    }

    std::vector<metric_sample> samples() const
    {
        std::vector<metric_sample> samples = packet_metric_samples("agent", counters_);
        samples.push_back({"agent_generation", "", static_cast<double>(table_generation_), false});
        add_http_status_samples(samples, "agent_announcements_answered_total",
                                announcement_server_);
        return samples;
    }

    void announce(const server_announcement& announcement, outcome_handler done) override
    {
        worker_.post(
            [this, announcement, done = std::move(done)](time_point instant, packet_agent& core)
            {
                const announcement_verdict verdict =
                    core.handle_announcement(instant, announcement);
                boost::asio::post(io_, [this, announcement, done, verdict]
                                  { update_membership(announcement, verdict, done); });
            });
    }

    void depart(const std::string& id, std::function<void()> done) override
    {
        worker_.post(
            [this, id, done = std::move(done)](time_point /*instant*/, packet_agent& core)
            {
                core.handle_departure(id);
                boost::asio::post(io_,
                                  [this, id, done]
                                  {
                                      membership_.handle_departure(id);
                                      done();
                                  });
            });
    }

private:
    void update_membership(const server_announcement& announcement, announcement_verdict verdict,
                           const outcome_handler& done)
    {
        const server_membership::acknowledgement_handler acknowledge = [done](bool is_recorded)
        {
            done(is_recorded ? announcement_outcome::recorded : announcement_outcome::not_recorded);
        };
        switch (verdict)
        {
        case announcement_verdict::applied:
            membership_.handle_announcement(announcement, acknowledge);
            break;
        case announcement_verdict::repeated:
            membership_.handle_repeated_announcement(announcement.id, acknowledge);
            break;
        case announcement_verdict::foreign:
            log_warning("ignored an announcement of backend server " + abbreviate(announcement.id) +
                        " of service '" + abbreviate(announcement.service) + "' at " +
                        to_string(announcement.address) + ": this agent's server is of service '" +
                        settings_.service + "' at " + to_string(settings_.server));
            done(announcement_outcome::foreign);
            break;
        }
    }

    void propose(const change& edit, result_handler done) override
    {
        client_.propose(edit, std::move(done));
    }

    void report() override
    {
        client_.send_report();
    }

    void schedule_retry() override
    {
        retry_timer_.expires_after(retry_delay);
        retry_timer_.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed)
                {
                    membership_.retry();
                }
            });
    }

    void watch_departing_server() override
    {
        departure_monitor_.start([this] { membership_.handle_server_end(); });
    }

    void note_server_end() override
    {
        departure_monitor_.stop();
        worker_.post([](time_point instant, packet_agent& core)
                     { core.handle_server_end(instant); });
    }

    std::uint64_t new_epoch() override
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }

    void note_first_incarnation() override
    {
        worker_.post([](time_point /*instant*/, packet_agent& core)
                     { core.note_first_incarnation(); });
    }

    void log_change(const std::string& what) override
    {
        log_info(what);
    }

    daemon_report current_report() const
    {
        daemon_report value;
        value.kind = daemon_kind::agent;
        value.name = settings_.name;
        value.domain = settings_.domain;
        value.member = membership_.member();
        value.held = table_generation_;
        value.state = membership_.state();
        return value;
    }

    void handle_update(const table_update& update)
    {
        const bool is_first = table_.held() == 0;
        if (!table_.apply(update))
        {
            log_warning("ignored a table update to generation " + std::to_string(update.held) +
                        ", which is older than the current " + std::to_string(table_.held()));
            return;
        }
        membership_.handle_table(table_);
        table_generation_ = table_.held();
        traffic_table_ =
            std::make_shared<const packet_table>(packet_table::update(table_, *traffic_table_));
        worker_.post([table = traffic_table_](time_point instant, packet_agent& core)
                     { core.set_table(instant, table); });
        if (is_first)
        {
            client_.send_report(); // Control's answer confirms that the table is current.
        }
    }

    boost::asio::io_context& io_;
    agent_daemon_settings settings_;
    packet_counters counters_;
    server_membership membership_;
    subscriber_table table_;
    std::shared_ptr<const packet_table> traffic_table_ = std::make_shared<const packet_table>();
    std::atomic<generation> table_generation_{0};
    packet_agent_worker worker_;
    control_client client_;
    control_address_source control_addresses_;
    http_server announcement_server_;
    http_server readiness_server_;
    boost::asio::steady_timer retry_timer_;
    departure_monitor departure_monitor_;
};

} // namespace

failure run_packet_agent(const agent_daemon_settings& settings, const platform_binding& platform)
{
    boost::asio::io_context io;
    packet_agent_daemon daemon(io, settings, platform);
    daemon_signals signals(
        io, [&daemon] { daemon.begin_stop(); }, [&daemon] { daemon.reload(); });
    metrics_page metrics(io);
    if (failure failed =
            metrics.start(settings.metrics_address, [&daemon] { return daemon.samples(); }))
    {
        return failed;
    }
    if (failure failed = daemon.start())
    {
        return failed;
    }
    io.run();
    return {};
}

} // namespace carawayshelf
