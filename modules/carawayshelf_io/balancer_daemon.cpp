#include "carawayshelf_io/balancer_daemon.hpp"

#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_io/balancer_worker.hpp"
#include "carawayshelf_io/control_address_source.hpp"
#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/metrics_page.hpp"

#include <tbb/parallel_for.h>

#include <vector>

namespace carawayshelf
{

namespace
{

/** The control thread of a balancer: receives the tables, opens the sockets of the services and
    passes both to the workers. Runs on the io_context's only thread. */
class balancer_daemon
{
public:
    balancer_daemon(boost::asio::io_context& io, const balancer_settings& settings)
        : settings_(settings), client_(
                                   io, settings.control_instances, [this] { return report(); },
                                   [this](const table_update& update) { handle_update(update); }),
          control_addresses_(settings.file, settings.control_instances,
                             [this](const std::vector<endpoint>& instances)
                             { client_.set_configured_instances(instances); })
    {
        for (std::uint32_t i = 0; i < settings.workers; ++i)
        {
            endpoint data = settings.data_address;
            data.port = static_cast<std::uint16_t>(data.port + i);
            workers_.push_back(std::make_unique<balancer_worker>(data, counters_));
        }
        sockets_.resize(workers_.size());
    }

    failure start()
    {
        for (const std::unique_ptr<balancer_worker>& worker : workers_)
        {
            if (failure failed = worker->start())
            {
                return failed;
            }
        }
        client_.set_unreachable_handler([this] { control_addresses_.reload(); });
        client_.start();
        log_info("balancer started; envelopes at " + to_string(settings_.data_address));
        return {};
    }

    /** Reads the addresses of the control instances from the settings file again. */
    void reload()
    {
        control_addresses_.reload();
    }

    std::vector<metric_sample> samples() const
    {
        std::vector<metric_sample> samples = {
            {"balancer_received_total", "", static_cast<double>(counters_.received)},
            {"balancer_relayed_total", "", static_cast<double>(counters_.relayed)},
            {"balancer_replies_total", "", static_cast<double>(counters_.replies)},
            {"balancer_generation", "", static_cast<double>(table_generation_), false},
            {"balancer_table_bytes", "", static_cast<double>(table_bytes_), false},
        };
        add_reason_samples(samples, "balancer_dropped_total", balancer_drop_names, counters_.drops);
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
        if (!table_.apply(update))
        {
            return;
        }
        // Each of several workers has its own SO_REUSEPORT socket per service, so the kernel
        // distributes the callers over the workers.
        tbb::parallel_for(std::size_t{0}, workers_.size(),
                          [this](std::size_t i) { publish_view(i); });
        table_generation_ = table_.held();
        client_.send_report();
    }

    void publish_view(std::size_t worker)
    {
        std::shared_ptr<balancer_view> view = std::make_shared<balancer_view>();
        view->table = table_.build_routing_table();
        table_bytes_ = view->table.memory_bytes();
        std::map<service_id, std::shared_ptr<unique_fd>>& sockets = sockets_[worker];
        for (auto item = sockets.begin(); item != sockets.end();)
        {
            item =
                table_.services().count(item->first) == 0 ? sockets.erase(item) : std::next(item);
        }
        for (const auto& [id, service] : table_.services())
        {
            if (sockets.count(id) == 0)
            {
                open_service(sockets, id, service.entry);
            }
        }
        view->sockets = sockets;
        workers_[worker]->set_view(view);
    }

    void open_service(std::map<service_id, std::shared_ptr<unique_fd>>& sockets, service_id id,
                      const service_entry& entry)
    {
        endpoint address = entry.address;
        if (settings_.entry_address != 0)
        {
            address.address = settings_.entry_address;
        }
        const std::shared_ptr<unique_fd> socket = std::make_shared<unique_fd>();
        if (const failure failed = open_udp_socket(address, *socket, workers_.size() > 1))
        {
            log_error("service '" + entry.name + "' is not served here: " + failed.message());
            return;
        }
        sockets[id] = socket;
    }

    balancer_settings settings_;
    balancer_counters counters_;
    subscriber_table table_;
    std::atomic<generation> table_generation_{0};
    std::atomic<std::size_t> table_bytes_{0};
    std::vector<std::unique_ptr<balancer_worker>> workers_;
    std::vector<std::map<service_id, std::shared_ptr<unique_fd>>> sockets_;
    control_client client_;
    control_address_source control_addresses_;
};

} // namespace

failure run_balancer(const balancer_settings& settings)
{
    boost::asio::io_context io;
    balancer_daemon daemon(io, settings);
    const auto stop = [&io]
    {
        // Without draining: a balancer keeps no flow state, so callers and agents continue through
        // the other balancers.
        log_info("stops");
        io.stop();
    };
    daemon_signals signals(io, stop, [&daemon] { daemon.reload(); });
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
