#include "carawayshelf_io/control_client.hpp"

#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <random>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds heartbeat_interval(250);
constexpr std::chrono::milliseconds retry_interval(50);

/** A connection attempt that takes longer is aborted. */
constexpr std::chrono::milliseconds connect_timeout(100);

/** A control instance that sends nothing for this long is disconnected: three heartbeats. */
constexpr duration silence_timeout = std::chrono::milliseconds(800);

/** A control instance that reports no contact with a leader for this long is disconnected; long
    enough for several elections. */
constexpr duration unconfirmed_timeout = std::chrono::milliseconds(1500);

/** Time without a confirmation from any control instance after which, and after each repetition of
    which, the unreachable handler is called. */
constexpr duration unreachable_timeout = std::chrono::seconds(1);

std::vector<endpoint> unpack_instances(const std::vector<std::uint64_t>& packed)
{
    std::vector<endpoint> instances;
    instances.reserve(packed.size());
    for (const std::uint64_t instance : packed)
    {
        instances.push_back(unpack_endpoint(instance));
    }
    return instances;
}

} // namespace

control_client::control_client(boost::asio::io_context& io, std::vector<endpoint> instances,
                               report_source report, update_handler on_update)
    : io_(io), instances_(std::move(instances), std::random_device{}()), report_(std::move(report)),
      on_update_(std::move(on_update)), retry_timer_(io), heartbeat_timer_(io),
      confirmation_timer_(io)
{
}

void control_client::start()
{
    unreachable_at_ = steady_now() + unreachable_timeout;
    connect();
    schedule_heartbeat();
}

void control_client::set_service(const std::string& service)
{
    service_ = service;
    held_generation_ = 0; // The updates so far were for another service.
    if (is_connected())
    {
        subscribe();
    }
}

void control_client::connect()
{
    const endpoint address = instances_.next();
    const std::shared_ptr<boost::asio::ip::tcp::socket> socket =
        std::make_shared<boost::asio::ip::tcp::socket>(io_);
    connecting_ = socket;
    socket->async_connect(to_asio(address),
                          [this, socket](const boost::system::error_code& error)
                          {
                              if (connecting_ != socket)
                              {
                                  return; // Timed out, and the next attempt has started.
                              }
                              connecting_ = nullptr;
                              if (error)
                              {
                                  handle_disconnect();
                                  return;
                              }
                              on_connected(std::move(*socket));
                          });
    reconnect_after(connect_timeout);
}

void control_client::reconnect_after(std::chrono::milliseconds delay)
{
    retry_timer_.expires_after(delay);
    retry_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || connection_)
            {
                return;
            }
            if (connecting_)
            {
                boost::system::error_code ignored;
                std::exchange(connecting_, nullptr)->close(ignored);
            }
            connect();
        });
}

void control_client::on_connected(boost::asio::ip::tcp::socket socket)
{
    connection_ = std::make_shared<frame_connection>(std::move(socket));
    last_frame_at_ = steady_now();
    last_confirmed_at_ = steady_now();
    is_confirmed_ = false;
    announced_instances_.reset();
    connection_->start([this](frame& received) { handle_frame(received); },
                       [this](const failure& why)
                       {
                           log_warning("connection to the control instance lost: " + why.detail);
                           handle_disconnect();
                       });
    subscribe();
    start_confirmation_timer();
}

void control_client::start_confirmation_timer()
{
    confirmation_timer_.expires_after(confirmation_timeout_.current());
    confirmation_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                leave_if_unconfirmed();
            }
        });
}

void control_client::leave_if_unconfirmed()
{
    if (!is_connected() || is_confirmed_)
    {
        return;
    }
    if (connection_->is_receiving())
    {
        start_confirmation_timer(); // Receiving a table takes long over a slow link.
        return;
    }
    confirmation_timeout_.note_expired();
    const std::shared_ptr<frame_connection> unconfirmed = connection_;
    unconfirmed->close(make_failure(error_kind::no_leader,
                                    "the control instance did not confirm contact with a leader; "
                                    "trying the next one"));
    connect();
}

void control_client::subscribe()
{
    frame sent;
    sent.subscription = std::make_unique<buffers::subscribe_object>();
    sent.subscription->lease = pack_report(report_());
    sent.subscription->lease->held = held_generation_;
    sent.subscription->service = service_;
    add_probe(sent);
    connection_->send(sent);
}

/** The probe's number is the time at which it is sent: the answer may wait in a socket, and then
    tells nothing about the time since. */
void control_client::add_probe(frame& sent)
{
    sent.probe = std::make_unique<buffers::link_probe_object>();
    sent.probe->number = static_cast<std::uint64_t>(steady_now().time_since_epoch().count());
}

void control_client::handle_disconnect()
{
    connection_ = nullptr;
    if (on_state_stored_)
    {
        std::exchange(on_state_stored_, nullptr)(false);
    }
    for (const auto& [number, done] : std::exchange(pending_proposals_, {}))
    {
        done(error_kind::not_confirmed, {});
    }
    reconnect_after(retry_interval);
}

void control_client::handle_frame(frame& received)
{
    last_frame_at_ = steady_now();
    if (received.probe && received.probe->is_confirmed)
    {
        last_confirmed_at_ = steady_now();
        unreachable_at_ = steady_now() + unreachable_timeout;
        is_confirmed_ = true;
        confirmation_timeout_.note_confirmed();
        if (on_confirmed_ && received.probe->number != 0)
        {
            on_confirmed_(time_point(duration(static_cast<std::int64_t>(received.probe->number))));
        }
    }
    if (received.update)
    {
        announced_instances_ = unpack_instances(received.update->instances);
        // An update to the generation that is held only carries the list of instances.
        const bool has_news =
            received.update->complete || received.update->held != held_generation_;
        const std::optional<table_update> update =
            has_news ? unpack_update(*received.update) : std::optional<table_update>();
        if (update)
        {
            held_generation_ = std::max(held_generation_, update->held);
            on_update_(*update);
        }
    }
    // One without contact to a leader may list instances that have been replaced long ago.
    if (is_confirmed_ && announced_instances_)
    {
        instances_.update(*announced_instances_);
        announced_instances_.reset();
    }
    if (received.claimed && on_state_stored_)
    {
        std::exchange(on_state_stored_, nullptr)(true);
    }
    if (received.client_reply)
    {
        auto found = pending_proposals_.extract(received.client_reply->number);
        if (found)
        {
            const change_result result = received.client_reply->result
                                             ? unpack_result(*received.client_reply->result)
                                             : change_result{};
            found.mapped()(static_cast<error_kind>(received.client_reply->error), result);
        }
    }
}

void control_client::set_confirmation_handler(confirmation_handler on_confirmed)
{
    on_confirmed_ = std::move(on_confirmed);
}

void control_client::set_unreachable_handler(std::function<void()> on_unreachable)
{
    on_unreachable_ = std::move(on_unreachable);
}

void control_client::set_configured_instances(const std::vector<endpoint>& instances)
{
    instances_.set_configured(instances);
}

void control_client::call_if_unreachable()
{
    if (on_unreachable_ && steady_now() >= unreachable_at_)
    {
        unreachable_at_ = steady_now() + unreachable_timeout;
        on_unreachable_();
    }
}

void control_client::close_if_timed_out()
{
    if (connection_ && (steady_now() - last_frame_at_ > silence_timeout ||
                        steady_now() - last_confirmed_at_ > unconfirmed_timeout))
    {
        const std::shared_ptr<frame_connection> timed_out = connection_;
        timed_out->close(make_failure(error_kind::unreachable,
                                      "the control instance stopped responding or has no leader"));
    }
}

void control_client::send_report()
{
    if (is_connected())
    {
        frame sent;
        sent.lease = pack_report(report_());
        add_probe(sent);
        connection_->send(sent);
    }
}

void control_client::schedule_heartbeat()
{
    heartbeat_timer_.expires_after(heartbeat_interval);
    heartbeat_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                close_if_timed_out();
                call_if_unreachable();
                send_report();
                schedule_heartbeat();
            }
        });
}

void control_client::store_restart_state(const std::string& name, const std::string& content,
                                         std::function<void(bool)> done)
{
    if (!is_connected())
    {
        done(false);
        return;
    }
    on_state_stored_ = std::move(done);
    frame sent;
    sent.park = std::make_unique<buffers::parcel_object>();
    sent.park->name = name;
    sent.park->content.assign(content.begin(), content.end());
    connection_->send(sent);
}

void control_client::propose(const change& edit, result_handler done)
{
    if (!is_connected())
    {
        done(error_kind::no_leader, {});
        return;
    }
    const std::uint64_t number = ++last_request_number_;
    pending_proposals_[number] = std::move(done);
    frame sent;
    sent.client_request = std::make_unique<buffers::request_object>();
    sent.client_request->number = number;
    sent.client_request->kind = static_cast<std::uint8_t>(request_kind::propose);
    sent.client_request->proposed = pack_change(edit);
    connection_->send(sent);
}

} // namespace carawayshelf
