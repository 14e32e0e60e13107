#include "carawayshelf_io/packet_balancer_daemon.hpp"

#include "carawayshelf_io/control_address_source.hpp"
#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/decision_log.hpp"
#include "carawayshelf_io/http_server.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/packet_metrics.hpp"
#include "carawayshelf_io/packet_sockets.hpp"
#include "carawayshelf_io/steady_time.hpp"
#include "carawayshelf_io/wakeup_event.hpp"
#include "carawayshelf_packets/packet_balancer.hpp"

#include <poll.h>

#include <array>
#include <atomic>
#include <thread>

namespace carawayshelf
{

namespace
{

/** A flow is reset only on a table that control confirmed within this time. */
constexpr duration max_confirmation_age = packet_agent::max_confirmation_age;

packet_balancer::options make_options(const balancer_settings& settings)
{
    packet_balancer::options options;
    options.data = settings.data_address;
    options.domain = settings.domain;
    options.flow_cache_entries = settings.flow_cache_entries;
    return options;
}

/** The traffic thread of a packet balancer. */
class packet_balancer_worker
{
public:
    packet_balancer_worker(const balancer_settings& settings, const platform_binding& platform,
                           packet_counters& counters)
        : settings_(settings), sockets_(platform.wire_format(), settings.entry.port, counters),
          core_(make_options(settings), platform.wire_format(), sockets_, counters, decisions_),
          counters_(counters), table_(std::make_shared<const packet_table>())
    {
    }

    ~packet_balancer_worker()
    {
        is_stopping_ = true;
        wakeup_.signal();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    failure start()
    {
        if (failure failed = sockets_.open(settings_.data_address, {}, {}))
        {
            return failed;
        }
        if (failure failed = open_udp_socket(settings_.entry, entry_socket_))
        {
            return failed;
        }
        enable_arrival_times(entry_socket_.get()); // sockets_ logs if this isn't supported.
        thread_ = std::thread([this] { run(); });
        return {};
    }

    /** Replaces the table. Thread-safe. */
    void set_table(std::shared_ptr<const packet_table> table)
    {
        std::atomic_store(&table_, std::move(table));
        wakeup_.signal();
    }

    /** Records that control has confirmed the current table. Thread-safe.
        @param asked_at  when control was asked */
    void confirm_table(time_point asked_at)
    {
        confirmed_us_ = asked_at.time_since_epoch().count();
    }

private:
    void run()
    {
        std::array<pollfd, 3> poll_fds = {{{entry_socket_.get(), POLLIN, 0},
                                           {sockets_.data_fd(), POLLIN, 0},
                                           {wakeup_.fd(), POLLIN, 0}}};
        time_point tick_due = steady_now();
        while (!is_stopping_)
        {
            const duration until_tick = std::max(tick_due - steady_now(), duration(0));
            ::poll(
                poll_fds.data(), poll_fds.size(),
                static_cast<int>(
                    std::chrono::duration_cast<std::chrono::milliseconds>(until_tick).count() + 1));
            wakeup_.clear();
            const std::shared_ptr<const packet_table> table = std::atomic_load(&table_);
            const time_point instant = steady_now();
            core_.send_early_packets(instant, *table, is_fresh(instant, *table));
            while (receive_envelopes(instant) || receive_packets(instant, *table))
            {
            }
            if (instant >= tick_due)
            {
                tick_due = instant + packet_balancer::probe_interval;
                core_.tick(instant, *table);
                sockets_.flush();
            }
        }
    }

    bool is_fresh(time_point instant, const packet_table& table) const
    {
        return table.held() != 0 &&
               instant.time_since_epoch().count() - confirmed_us_ < max_confirmation_age.count();
    }

    /** Handles one batch of envelopes. Returns whether more may be waiting. */
    bool receive_envelopes(time_point instant)
    {
        const std::size_t count = received_.receive(sockets_.data_fd());
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::string_view bytes = received_.datagram(i);
            packet_envelope envelope;
            std::size_t header_size = 0;
            if (received_.is_truncated(i) ||
                !decode_packet_envelope(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                        bytes.size(), envelope, header_size))
            {
                counters_.drops.add(packet_drop::malformed);
                continue;
            }
            core_.handle_envelope(instant, envelope, received_.sender(i));
        }
        return count == batch_size;
    }

    /** Handles one batch of packets from clients. Returns whether more may be waiting. */
    bool receive_packets(time_point instant, const packet_table& table)
    {
        const bool is_table_fresh = is_fresh(instant, table);
        const std::size_t count = received_.receive(entry_socket_.get());
        for (std::size_t i = 0; i < count; ++i)
        {
            if (received_.is_truncated(i))
            {
                counters_.drops.add(packet_drop::malformed);
                continue;
            }
            core_.handle_packet(instant, table, is_table_fresh, received_.datagram(i),
                                received_.waited(i));
        }
        sockets_.flush();
        return count == batch_size;
    }

    const balancer_settings& settings_;
    packet_sockets sockets_;
    decision_log decisions_;
    packet_balancer core_;
    packet_counters& counters_;
    unique_fd entry_socket_;
    wakeup_event wakeup_;
    receive_batch received_;
    std::shared_ptr<const packet_table> table_; ///< Use std::atomic_load and std::atomic_store.
    std::atomic<std::int64_t> confirmed_us_{INT64_MIN / 2};
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

/** The control thread of a packet balancer: receives the tables and answers readiness probes. Runs
    on the io_context's only thread. */
class packet_balancer_daemon
{
public:
    packet_balancer_daemon(boost::asio::io_context& io, const balancer_settings& settings,
                           const platform_binding& platform)
        : io_(io), settings_(settings), worker_(settings, platform, counters_),
          client_(
              io, settings.control_instances, [this] { return report(); },
              [this](const table_update& update) { handle_update(update); }),
          control_addresses_(settings.file, settings.control_instances,
                             [this](const std::vector<endpoint>& instances)
                             { client_.set_configured_instances(instances); }),
          readiness_server_(
              io, [this, &platform](const http_request& request, const http_responder& respond)
              { platform.handle_readiness(is_ready_ && !is_stopping_, request, respond); }),
          stop_timer_(io)
    {
    }

    failure start()
    {
        if (failure failed = worker_.start())
        {
            return failed;
        }
        if (failure failed = readiness_server_.start(settings_.ready_address))
        {
            return failed;
        }
        client_.set_confirmation_handler([this](time_point asked_at)
                                         { worker_.confirm_table(asked_at); });
        client_.set_unreachable_handler([this] { control_addresses_.reload(); });
        client_.start();
        log_info("packet balancer started; packets at " + to_string(settings_.entry) +
                 ", envelopes at " + to_string(settings_.data_address));
        return {};
    }

    /** Reports not ready, but keeps relaying for stop_ms so that the routers can stop using this
        balancer. A second signal stops the process at once. */
    void begin_stop()
    {
        if (is_stopping_)
        {
            io_.stop();
            return;
        }
        is_stopping_ = true;
        log_info("stopping: reporting not ready, relaying for another " +
                 std::to_string(settings_.stop_ms) + " ms");
        stop_timer_.expires_after(std::chrono::milliseconds(settings_.stop_ms));
        stop_timer_.async_wait([this](const boost::system::error_code& /*error*/) { io_.stop(); });
    }

    /** Reads the addresses of the control instances from the settings file again. */
    void reload()
    {
        control_addresses_.reload();
    }

    std::vector<metric_sample> samples() const
    {
        std::vector<metric_sample> samples = packet_metric_samples("balancer", counters_);
        samples.push_back(
            {"balancer_generation", "", static_cast<double>(table_generation_), false});
        return samples;
    }

private:
    daemon_report report() const
    {
        daemon_report value;
        value.kind = daemon_kind::balancer;
        value.name = settings_.name;
        value.domain = settings_.domain;
        value.held = table_generation_;
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
        traffic_table_ =
            std::make_shared<const packet_table>(packet_table::update(table_, *traffic_table_));
        worker_.set_table(traffic_table_);
        table_generation_ = table_.held();
        if (!is_ready_ && table_.rules())
        {
            is_ready_ = true;
            log_info("ready with generation " + std::to_string(table_generation_));
        }
        if (is_first)
        {
            client_.send_report(); // Control's answer confirms that the table is current.
        }
    }

    boost::asio::io_context& io_;
    balancer_settings settings_;
    packet_counters counters_;
    subscriber_table table_;
    std::shared_ptr<const packet_table> traffic_table_ = std::make_shared<const packet_table>();
    std::atomic<generation> table_generation_{0};
    bool is_ready_ = false;
    bool is_stopping_ = false;
    packet_balancer_worker worker_;
    control_client client_;
    control_address_source control_addresses_;
    http_server readiness_server_;
    boost::asio::steady_timer stop_timer_;
};

} // namespace

failure run_packet_balancer(const balancer_settings& settings, const platform_binding& platform)
{
    boost::asio::io_context io;
    packet_balancer_daemon daemon(io, settings, platform);
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
    log_info("stops");
    return {};
}

} // namespace carawayshelf
