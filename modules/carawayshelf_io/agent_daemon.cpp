#include "carawayshelf_io/agent_daemon.hpp"

#include "carawayshelf_io/agent_traffic.hpp"
#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/operator_client.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <random>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::seconds longest_stop(10);
constexpr std::chrono::milliseconds claim_timeout(500);
constexpr std::chrono::milliseconds announce_again(500);
constexpr std::chrono::milliseconds freeze_check_interval(200);

std::uint64_t new_epoch()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/** The control side of an agent: its lease, its announcement and its slice of the tables. Runs on
    the io_context's one thread. */
class agent_daemon
{
public:
    agent_daemon(boost::asio::io_context& io, const agent_daemon_settings& settings)
        : io_(io), settings_(settings), epoch_(new_epoch()),
          traffic_(settings, counters_,
                   [this](registration_event event, const std::string& service) {
                       boost::asio::post(io_, [this, event, service]
                                         { on_registration(event, service); });
                   }),
          client_(
              io, settings.control, [this] { return report(); },
              [this](const table_update& update) { take_update(update); }),
          announce_timer_(io), stop_timer_(io), report_timer_(io), freeze_timer_(io)
    {
    }

    failure start()
    {
        claim_parked_state();
        if (failure failed = traffic_.start())
        {
            return failed;
        }
        client_.start();
        watch_freezes();
        log_info("agent runs, envelopes at " + to_string(settings_.data) + ", registrations at " +
                 to_string(settings_.announce));
        return {};
    }

    /** Takes over what an earlier incarnation parked, if there is anything. */
    void claim_parked_state()
    {
        operator_client client(settings_.control, claim_timeout);
        const std::string content = client.claim(settings_.name);
        const std::optional<agent_restart_state> seal =
            content.empty() ? std::optional<agent_restart_state>() : decode_restart_state(content);
        if (!seal)
        {
            return;
        }
        log_info("goes on as member " + std::to_string(seal->member) + " with " +
                 std::to_string(seal->flows.size()) + " flows");
        self_ = seal->member;
        epoch_ = seal->epoch;
        service_ = seal->service;
        client_.set_service(service_);
        traffic_.restore(*seal);
    }

    /** Finishes what runs, then parks the state for the next incarnation of this agent. A second
        signal ends at once. */
    void begin_stop()
    {
        if (is_stopping_ || self_ == 0)
        {
            io_.stop();
            return;
        }
        log_info("stops: finishes what runs, then parks its state");
        is_stopping_ = true;
        traffic_.seal_when_quiet(
            [this](const agent_restart_state& seal)
            { boost::asio::post(io_, [this, whole = seal] { park(whole); }); });
        stop_timer_.expires_after(longest_stop);
        stop_timer_.async_wait([this](const boost::system::error_code& /*error*/) { io_.stop(); });
    }

    /** Asks control for a whole table after the process was frozen. */
    void watch_freezes()
    {
        freeze_timer_.expires_after(freeze_check_interval);
        freeze_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                {
                    return;
                }
                if (traffic_.snapshot().is_unconfirmed)
                {
                    client_.set_service(service_);
                }
                watch_freezes();
            });
    }

    std::vector<metric_sample> samples() const
    {
        const agent_snapshot snapshot = traffic_.snapshot();
        std::vector<metric_sample> samples = {
            {"agent_received_total", "", static_cast<double>(counters_.received)},
            {"agent_relayed_total", "", static_cast<double>(counters_.relayed)},
            {"agent_answered_total", "", static_cast<double>(counters_.answered)},
            {"agent_passed_total", "", static_cast<double>(counters_.passed)},
            {"agent_requests_run_total", "", static_cast<double>(counters_.run)},
            {"agent_requests_served_total", "", static_cast<double>(counters_.served)},
            {"agent_flows", "", static_cast<double>(snapshot.flows), false},
            {"agent_running", "", static_cast<double>(snapshot.running), false},
            {"agent_generation", "", static_cast<double>(traffic_.held()), false},
        };
        add_reason_samples(samples, "agent_refused_total", refusal_reason_names,
                           counters_.refusals);
        add_reason_samples(samples, "agent_dropped_total", agent_drop_names, counters_.drops);
        add_reason_samples(samples, "agent_retries_total", agent_retry_names, counters_.retries);
        return samples;
    }

private:
    daemon_report report() const
    {
        const agent_snapshot snapshot = traffic_.snapshot();
        daemon_report value;
        value.kind = daemon_kind::agent;
        value.name = settings_.name;
        value.domain = settings_.domain;
        value.member = self_;
        value.held = traffic_.held();
        value.state = snapshot.state;
        value.released = snapshot.released;
        return value;
    }

    void on_registration(registration_event event, const std::string& service)
    {
        if (event == registration_event::leaving || is_stopping_)
        {
            client_.send_report();
            return;
        }
        if (service != service_)
        {
            service_ = service;
            client_.set_service(service);
        }
        if (self_ == 0)
        {
            announce();
        }
    }

    void announce()
    {
        if (is_announcing_ || is_stopping_)
        {
            return;
        }
        is_announcing_ = true;
        announce_member edit{settings_.name, settings_.domain, service_, settings_.data, epoch_};
        client_.propose(edit, [this](error_kind error, const change_result& result)
                        { on_announced(error, result); });
    }

    void on_announced(error_kind error, const change_result& result)
    {
        is_announcing_ = false;
        if (error == error_kind::none && result.error == error_kind::none)
        {
            self_ = result.member;
            announced_at_ = result.made_at;
            log_info("is member " + std::to_string(self_) + " of service '" + service_ + "'");
            publish();
            return;
        }
        announce_timer_.expires_after(announce_again);
        announce_timer_.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed && self_ == 0)
                {
                    announce();
                }
            });
    }

    void take_update(const table_update& update)
    {
        if (!table_.apply(update))
        {
            return;
        }
        if (self_ != 0 && table_.held() > announced_at_ && table_.members().count(self_) == 0)
        {
            // Control gave this member up; others may serve its flows, so it starts afresh.
            log_warning("member " + std::to_string(self_) + " was retired: starts a new epoch");
            self_ = 0;
            epoch_ = new_epoch();
            traffic_.start_epoch();
            announce();
        }
        publish();
    }

    void publish()
    {
        traffic_.set_table(std::make_shared<const subscriber_table>(table_), service_, self_);
        // The traffic thread takes it in at once; tell control soon after.
        report_timer_.expires_after(std::chrono::milliseconds(5));
        report_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    client_.send_report();
                }
            });
    }

    void park(agent_restart_state seal)
    {
        seal.epoch = epoch_;
        client_.park(settings_.name, encode_restart_state(seal),
                     [this](bool is_parked)
                     {
                         log_info(is_parked ? "parked its state" : "could not park its state");
                         io_.stop();
                     });
    }

    boost::asio::io_context& io_;
    agent_daemon_settings settings_;
    agent_counters counters_;
    std::uint64_t epoch_;
    std::string service_;
    member_id self_ = 0;
    generation announced_at_ = 0;
    bool is_announcing_ = false;
    bool is_stopping_ = false;
    subscriber_table table_;
    agent_traffic traffic_;
    control_client client_;
    boost::asio::steady_timer announce_timer_;
    boost::asio::steady_timer stop_timer_;
    boost::asio::steady_timer report_timer_;
    boost::asio::steady_timer freeze_timer_;
};

} // namespace

failure run_agent(const agent_daemon_settings& settings)
{
    boost::asio::io_context io;
    agent_daemon daemon(io, settings);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    const std::function<void(const boost::system::error_code&, int)> on_signal =
        [&daemon](const boost::system::error_code& error, int /*signal*/)
    {
        if (!error)
        {
            daemon.begin_stop();
        }
    };
    signals.async_wait(on_signal);
    metrics_page metrics(io);
    if (failure failed = metrics.start(settings.metrics, [&daemon] { return daemon.samples(); }))
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
