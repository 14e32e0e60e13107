#include "carawayshelf_io/packet_agent_daemon.hpp"

#include "carawayshelf_io/control_client.hpp"
#include "carawayshelf_io/daemon_signals.hpp"
#include "carawayshelf_io/http_server.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/metrics_page.hpp"
#include "carawayshelf_io/packet_agent_worker.hpp"
#include "carawayshelf_io/packet_samples.hpp"

#include <boost/asio/post.hpp>

#include <random>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds announce_again(300);

std::uint64_t new_epoch()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/** The control side of a packet agent: its lease, its membership and its backend server's
    announcements. Runs on the io_context's one thread. */
class packet_agent_daemon : public announcement_desk
{
public:
    packet_agent_daemon(boost::asio::io_context& io, const agent_daemon_settings& settings,
                        const platform_binding& platform)
        : io_(io), settings_(settings), epoch_(new_epoch()),
          worker_(settings, platform.packets(), counters_),
          client_(
              io, settings.control, [this] { return report(); },
              [this](const table_update& update) { take_update(update); }),
          desk_(io, [this, &platform](const http_request& request, const http_responder& respond)
                { platform.handle_announcement(*this, request, respond); }),
          readiness_(io,
                     [this, &platform](const http_request& request, const http_responder& respond)
                     { platform.handle_readiness(table_.held() != 0, request, respond); }),
          announce_timer_(io)
    {
    }

    failure start()
    {
        if (failure failed = worker_.start())
        {
            return failed;
        }
        if (failure failed = desk_.start(settings_.announce))
        {
            return failed;
        }
        if (!settings_.readiness.is_none())
        {
            if (failure failed = readiness_.start(settings_.readiness))
            {
                return failed;
            }
        }
        client_.set_confirmation_handler(
            [this] {
                worker_.post([](time_point instant, packet_agent& core)
                             { core.confirm_table(instant); });
            });
        client_.set_service(every_service);
        client_.start();
        log_info("packet agent runs, envelopes at " + to_string(settings_.data) +
                 ", announcements at " + to_string(settings_.announce));
        return {};
    }

    /** Its backend server goes on; the next incarnation finds its flows there. */
    void begin_stop()
    {
        log_info("stops");
        io_.stop();
    }

    std::vector<metric_sample> samples() const
    {
        std::vector<metric_sample> samples = packet_samples("agent", counters_);
        samples.push_back({"agent_generation", "", static_cast<double>(held_), false});
        add_answer_samples(samples, "agent_announcements_answered_total", desk_);
        return samples;
    }

    void announce(const server_announcement& announcement, std::function<void()> done) override
    {
        if (announcement.id != server_id_ || announcement.is_draining != is_draining_)
        {
            log_info("backend server " + announcement.id + " of service '" + announcement.service +
                     "' announces itself as " + (announcement.is_draining ? "draining" : "ready"));
        }
        server_id_ = announcement.id;
        is_draining_ = announcement.is_draining;
        is_cold_ = announcement.cold_for > duration(0);
        if (service_ != announcement.service)
        {
            service_ = announcement.service;
            self_ = 0;
            epoch_ = new_epoch();
        }
        worker_.post(
            [this, announcement, done = std::move(done)](time_point instant, packet_agent& core)
            {
                core.take_announcement(instant, announcement);
                boost::asio::post(io_, done);
            });
        if (self_ == 0)
        {
            join();
        }
        client_.send_report();
    }

    void depart(const std::string& id, std::function<void()> done) override
    {
        log_info("backend server " + id + " departs");
        worker_.post(
            [this, id, done = std::move(done)](time_point /*instant*/, packet_agent& core)
            {
                core.take_departure(id);
                boost::asio::post(io_, done);
            });
        if (self_ != 0 && id == server_id_)
        {
            client_.propose(retire_member{self_},
                            [member = self_](error_kind error, const change_result& /*result*/)
                            {
                                if (error != error_kind::none)
                                {
                                    log_warning("control did not confirm that member " +
                                                std::to_string(member) +
                                                " left; its lease will end");
                                }
                            });
            self_ = 0;
            service_.clear();
            epoch_ = new_epoch();
        }
    }

private:
    member_state state() const
    {
        if (is_draining_)
        {
            return member_state::draining;
        }
        return is_cold_ ? member_state::cold : member_state::warm;
    }

    daemon_report report() const
    {
        daemon_report value;
        value.kind = daemon_kind::agent;
        value.name = settings_.name;
        value.domain = settings_.domain;
        value.member = self_;
        value.held = held_;
        value.state = state();
        return value;
    }

    /** Asks control to make this agent with its backend server a member. */
    void join()
    {
        if (is_joining_ || service_.empty())
        {
            return;
        }
        is_joining_ = true;
        announce_member edit;
        edit.name = settings_.name;
        edit.domain = settings_.domain;
        edit.service = service_;
        edit.data = settings_.data;
        edit.epoch = epoch_;
        edit.protocol = flow_protocol::packets;
        edit.state = state();
        client_.propose(edit, [this](error_kind error, const change_result& result)
                        { on_joined(error, result); });
    }

    void on_joined(error_kind error, const change_result& result)
    {
        is_joining_ = false;
        if (error == error_kind::none && result.error == error_kind::none)
        {
            self_ = result.member;
            joined_at_ = result.made_at;
            log_info("is member " + std::to_string(self_) + " of service '" + service_ + "'");
            client_.send_report();
            return;
        }
        announce_timer_.expires_after(announce_again);
        announce_timer_.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed && self_ == 0)
                {
                    join();
                }
            });
    }

    void take_update(const table_update& update)
    {
        if (!table_.apply(update))
        {
            log_warning("ignored an update to generation " + std::to_string(update.held) +
                        ", older than the held " + std::to_string(table_.held()));
            return;
        }
        if (self_ != 0 && table_.held() > joined_at_ && table_.members().count(self_) == 0)
        {
            log_warning("member " + std::to_string(self_) + " was retired: joins anew");
            self_ = 0;
            epoch_ = new_epoch();
            join();
        }
        held_ = table_.held();
        traffic_table_ = std::make_shared<const packet_table>(table_, *traffic_table_);
        worker_.post([table = traffic_table_](time_point instant, packet_agent& core)
                     { core.set_table(instant, table); });
        client_.send_report();
    }

    boost::asio::io_context& io_;
    agent_daemon_settings settings_;
    packet_counters counters_;
    std::uint64_t epoch_;
    std::string service_; ///< What its backend server announced.
    std::string server_id_;
    bool is_draining_ = false;
    bool is_cold_ = false;
    member_id self_ = 0;
    generation joined_at_ = 0;
    bool is_joining_ = false;
    subscriber_table table_;
    std::shared_ptr<const packet_table> traffic_table_ = std::make_shared<const packet_table>();
    std::atomic<generation> held_{0};
    packet_agent_worker worker_;
    control_client client_;
    http_server desk_;
    http_server readiness_;
    boost::asio::steady_timer announce_timer_;
};

} // namespace

failure run_packet_agent(const agent_daemon_settings& settings, const platform_binding& platform)
{
    boost::asio::io_context io;
    packet_agent_daemon daemon(io, settings, platform);
    daemon_signals signals(io, [&daemon] { daemon.begin_stop(); });
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
