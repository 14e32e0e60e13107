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
    added.sent = 0;
    added.heard = steady_now();
    // A daemon that is ahead of this instance keeps what it has.
    if (added.report.held != 0 && added.report.held >= state_.data().horizon)
    {
        added.sent = added.report.held;
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
        found->second.heard = steady_now();
    }
}

void control_server::handle_parcels(const connection_pointer& connection, const frame& received)
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
        if (!parked_.store(steady_now(), received.park->name, {content.begin(), content.end()}))
        {
            log_warning("no room to park the state of " + received.park->name);
            return;
        }
    }
    if (received.claim)
    {
        const std::string content = parked_.claim(steady_now(), received.claim->name);
        answer.claimed->content.assign(content.begin(), content.end());
    }
    connection->send(answer);
}

void control_server::send_due_updates()
{
    // Right after a start the state is that of the snapshot, older than what daemons had before.
    has_been_current_ = has_been_current_ || is_confirmed();
    if (!updates_.take_due(steady_now(), has_been_current_))
    {
        return;
    }
    for (auto& [connection, who] : subscribers_)
    {
        send_update(who);
    }
}

void control_server::send_update(subscriber& to)
{
    if (!has_been_current_)
    {
        updates_.note_change();
        return;
    }
    const generation current = state_.data().held;
    if (to.sent >= current)
    {
        return;
    }
    const bool takes_all = to.report.kind == daemon_kind::balancer || to.service == every_service;
    const std::string only = takes_all ? "" : (to.service.empty() ? "-" : to.service);
    const encoded_updates::state_version present{current, core_->log().voters_index()};
    const encoded_updates::bytes bytes = encoded_.get(
        present, to.sent, only, [this, &to, &only] { return encode_update(to.sent, only); });
    to.connection->send_encoded(frame_kind::update, bytes);
    to.sent = current;
}

std::string control_server::encode_update(generation from, const std::string& only) const
{
    frame update;
    update.update = pack_update(state_.collect_update(from, only));
    for (const instance_id voter : core_->log().voters())
    {
        update.update->instances.push_back(pack_endpoint(address_of(slot_of(voter))));
    }
    std::string bytes = encode_frame(update);
    if (update.update->complete)
    {
        log_info("the whole table takes " + std::to_string(bytes.size()) + " bytes at generation " +
                 std::to_string(state_.data().held));
    }
    return bytes;
}

} // namespace carawayshelf
