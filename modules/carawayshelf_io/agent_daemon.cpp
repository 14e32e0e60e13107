#include "carawayshelf_io/agent_daemon.hpp"

#include "carawayshelf_io/agent_traffic.hpp"
#include "carawayshelf_io/control_address_source.hpp"
#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/operator_client.hpp"

#include <boost/asio/post.hpp>

#include <random>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::seconds stop_timeout(10);
constexpr std::chrono::milliseconds claim_timeout(500);
constexpr std::chrono::milliseconds announce_retry_delay(500);
constexpr std::chrono::milliseconds freeze_check_interval(200);

std::uint64_t new_epoch()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/** The control thread of an agent: keeps its lease, announces it as a member and receives its part
    of the tables. Runs on the io_context's only thread. */
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
              io, settings.control_instances, [this] { return report(); },
              [this](const table_update& update) { handle_update(update); }),
          control_addresses_(settings.file, settings.control_instances,
                             [this](const std::vector<endpoint>& instances)
                             { client_.set_configured_instances(instances); }),
          announce_timer_(io), stop_timer_(io), report_timer_(io), freeze_timer_(io)
    {
    }

    failure start()
    {
        claim_restart_state();
        if (failure failed = traffic_.start())
        {
            return failed;
        }
        client_.set_unreachable_handler([this] { control_addresses_.reload(); });
        client_.start();
        schedule_freeze_check();
        log_info("agent started; envelopes at " + to_string(settings_.data_address) +
                 ", registrations at " + to_string(settings_.announce_address));
        return {};
    }

    /** Restores the state that the previous incarnation stored at control, if there is one. */
    void claim_restart_state()
    {
        operator_client client(settings_.control_instances, claim_timeout);
        const std::string content = client.claim_restart_state(settings_.name);
        const std::optional<agent_restart_state> state =
            content.empty() ? std::optional<agent_restart_state>() : decode_restart_state(content);
        if (!state)
        {
            return;
        }
        log_info("restored the state of member " + std::to_string(state->member) + " with " +
                 std::to_string(state->flows.size()) + " flows");
        member_ = state->member;
        epoch_ = state->epoch;
        service_ = state->service;
        client_.set_service(service_);
        traffic_.restore(*state);
    }

    /** Lets running requests finish, then stores the state at control for the next incarnation of
        this agent. Stops after stop_timeout at the latest, and at once on a second signal or while
        the agent is not a member. */
    void begin_stop()
    {
        if (is_stopping_ || member_ == 0)
        {
            io_.stop();
            return;
        }
        log_info("stopping: finishing running requests before storing the state at control");
        is_stopping_ = true;
        traffic_.export_state_when_idle(
            [this](const agent_restart_state& state) {
                boost::asio::post(io_,
                                  [this, state_copy = state] { save_restart_state(state_copy); });
            });
        stop_timer_.expires_after(stop_timeout);
        stop_timer_.async_wait([this](const boost::system::error_code& /*error*/) { io_.stop(); });
    }

    /** Checks periodically whether the agent waits for a table, because its state was restored or
        the process was suspended for a while. If so, subscribes again, for which control sends a
        complete table. */
    void schedule_freeze_check()
    {
        freeze_timer_.expires_after(freeze_check_interval);
        freeze_timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                {
                    return;
                }
                if (traffic_.status().is_unconfirmed)
                {
                    client_.set_service(service_);
                }
                schedule_freeze_check();
            });
    }

    /** Reads the addresses of the control instances from the settings file again. */
    void reload()
    {
        control_addresses_.reload();
    }

    std::vector<metric_sample> samples() const
    {
        const agent_status status = traffic_.status();
        std::vector<metric_sample> samples = {
            {"agent_received_total", "", static_cast<double>(counters_.received)},
            {"agent_relayed_total", "", static_cast<double>(counters_.relayed)},
            {"agent_answered_total", "", static_cast<double>(counters_.answered)},
            {"agent_passed_total", "", static_cast<double>(counters_.passed)},
            {"agent_requests_run_total", "", static_cast<double>(counters_.run)},
            {"agent_requests_served_total", "", static_cast<double>(counters_.served)},
            {"agent_flows", "", static_cast<double>(status.flows), false},
            {"agent_running", "", static_cast<double>(status.running), false},
            {"agent_generation", "", static_cast<double>(traffic_.table_generation()), false},
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
        const agent_status status = traffic_.status();
        daemon_report value;
        value.kind = daemon_kind::agent;
        value.name = settings_.name;
        value.domain = settings_.domain;
        value.member = member_;
        value.held = traffic_.table_generation();
        value.state = status.state;
        value.released = status.released;
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
        if (member_ == 0)
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
        announce_member edit{settings_.name, settings_.domain, service_, settings_.data_address,
                             epoch_};
        client_.propose(edit, [this](error_kind error, const change_result& result)
                        { on_announced(error, result); });
    }

    void on_announced(error_kind error, const change_result& result)
    {
        is_announcing_ = false;
        if (error == error_kind::none && result.error == error_kind::none)
        {
            member_ = result.member;
            announced_at_ = result.made_at;
            log_info("joined as member " + std::to_string(member_) + " of service '" + service_ +
                     "'");
            publish();
            return;
        }
        announce_timer_.expires_after(announce_retry_delay);
        announce_timer_.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed && member_ == 0)
                {
                    announce();
                }
            });
    }

    void handle_update(const table_update& update)
    {
        if (!table_.apply(update))
        {
            return;
        }
        if (member_ != 0 && table_.held() > announced_at_ && table_.members().count(member_) == 0)
        {
            // Other agents may serve the flows of a retired member, so its flows are dropped.
            log_warning("member " + std::to_string(member_) + " was retired; starting a new epoch");
            member_ = 0;
            epoch_ = new_epoch();
            traffic_.start_epoch();
            announce();
        }
        publish();
    }

    void publish()
    {
        traffic_.set_table(std::make_shared<const subscriber_table>(table_), service_, member_);
        // Delayed until the traffic thread has applied the table, so that the report contains its
        // generation.
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

    void save_restart_state(agent_restart_state state)
    {
        state.epoch = epoch_;
        client_.store_restart_state(settings_.name, encode_restart_state(state),
                                    [this](bool is_stored)
                                    {
                                        log_info(is_stored
                                                     ? "stored the state at control"
                                                     : "could not store the state at control");
                                        io_.stop();
                                    });
    }

    boost::asio::io_context& io_;
    agent_daemon_settings settings_;
    agent_counters counters_;
    std::uint64_t epoch_;
    std::string service_;
    member_id member_ = 0;
    generation announced_at_ = 0;
    bool is_announcing_ = false;
    bool is_stopping_ = false;
    subscriber_table table_;
    agent_traffic traffic_;
    control_client client_;
    control_address_source control_addresses_;
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
