#include "carawayshelf_io/control_server.hpp"
#include "carawayshelf_io/json_log.hpp"
#include "carawayshelf_io/steady_time.hpp"

namespace carawayshelf
{

void control_server::handle_subscription(const connection_pointer& connection,
                                         const buffers::subscribe_object& subscription)
{
    subscriber& added = subscribers_[connection.get()];
    added.connection = connection;
    added.report = unpack_report(*subscription.lease);
    added.service = subscription.service;
    added.sent_generation = 0;
    added.last_heard = steady_now();
    // An incremental update suffices for a daemon at or after the horizon. One that is ahead of
    // this instance keeps its table and gets no update until this instance has caught up.
    if (added.report.held != 0 && added.report.held >= state_.data().horizon)
    {
        added.sent_generation = added.report.held;
    }
    send_update(added);
}

void control_server::handle_report(const connection_pointer& connection,
                                   const buffers::daemon_lease_object& packed)
{
    const auto found = subscribers_.find(connection.get());
    if (found != subscribers_.end())
    {
        found->second.report = unpack_report(packed);
        found->second.last_heard = steady_now();
    }
}

void control_server::handle_restart_states(const connection_pointer& connection,
                                           const frame& received)
{
    if (!received.park && !received.claim)
    {
        return;
    }
    frame answer;
    answer.claimed = std::make_unique<buffers::parcel_object>();
    if (received.park)
    {
        const std::vector<std::uint8_t>& content = received.park->content;
        if (!restart_states_.store(steady_now(), received.park->name,
                                   {content.begin(), content.end()}))
        {
            log_warning("no room to store the restart state of " + received.park->name);
            return;
        }
    }
    if (received.claim)
    {
        const std::string content = restart_states_.claim(steady_now(), received.claim->name);
        answer.claimed->content.assign(content.begin(), content.end());
    }
    connection->send(answer);
}

void control_server::send_due_updates()
{
    // Right after a start the state may be older than what the daemons already hold: it is that of
    // the snapshot until the leader's records have arrived.
    has_been_confirmed_ = has_been_confirmed_ || is_confirmed();
    note_instances();
    if (!update_batcher_.take_due(steady_now(), has_been_confirmed_))
    {
        return;
    }
    for (auto& [connection, daemon] : subscribers_)
    {
        send_update(daemon);
    }
}

/** Notes a change of the voters. Daemons must learn it even while no entry changes, since all
    instances that they know might be replaced before the next change. */
void control_server::note_instances()
{
    if (core_->log().voters() != announced_voters_)
    {
        announced_voters_ = core_->log().voters();
        ++instances_version_;
        update_batcher_.note_change();
    }
}

void control_server::send_update(subscriber& to)
{
    if (!has_been_confirmed_)
    {
        update_batcher_.note_change();
        return;
    }
    const generation current = state_.data().held;
    const bool has_news =
        to.sent_generation < current || to.sent_instances_version != instances_version_;
    if (to.sent_generation > current || !has_news)
    {
        return;
    }
    const bool takes_all = to.report.kind == daemon_kind::balancer || to.service == every_service;
    const std::string only_service = takes_all ? "" : (to.service.empty() ? "-" : to.service);
    const encoded_update_cache::state_version current_version{current, instances_version_};
    const encoded_update_cache::bytes bytes = update_cache_.get(
        current_version, to.sent_generation, only_service,
        [this, &to, &only_service] { return encode_update(to.sent_generation, only_service); });
    to.connection->send_encoded(frame_kind::update, bytes);
    to.sent_generation = current;
    to.sent_instances_version = instances_version_;
}

std::string control_server::encode_update(generation from, const std::string& only_service) const
{
    frame update;
    update.update = pack_update(state_.collect_update(from, only_service));
    for (const instance_id voter : announced_voters_)
    {
        update.update->instances.push_back(pack_endpoint(address_of(slot_of(voter))));
    }
    std::string bytes = encode_frame(update);
    if (update.update->complete)
    {
        log_info("the complete table takes " + std::to_string(bytes.size()) +
                 " bytes at generation " + std::to_string(state_.data().held));
    }
    return bytes;
}

} // namespace carawayshelf
