#include "carawayshelf_packets/server_membership.hpp"

#include <utility>

namespace carawayshelf
{

server_membership::server_membership(identity agent_identity, membership_port& port)
    : identity_(std::move(agent_identity)), port_(port), epoch_(port.new_epoch())
{
}

member_state server_membership::state() const
{
    if (is_draining_)
    {
        return member_state::draining;
    }
    return is_cold_ ? member_state::cold : member_state::warm;
}

void server_membership::handle_announcement(const server_announcement& announcement,
                                            const acknowledgement_handler& done)
{
    if (is_departing_)
    {
        end_departure(); // The departing server has ended: another one uses its address.
    }
    const bool is_changed =
        announcement.id != server_id_ || announcement.is_draining != is_draining_;
    if (is_changed)
    {
        port_.log_change("backend server " + announcement.id + " of service '" +
                         announcement.service + "' announces itself as " +
                         (announcement.is_draining ? "draining" : "ready"));
        is_draining_recorded_ = false;
    }
    if (service_ != announcement.service)
    {
        leave();
    }
    service_ = announcement.service;
    server_id_ = announcement.id;
    is_draining_ = announcement.is_draining;
    is_cold_ = announcement.cold_for > duration(0);
    port_.report();
    join();
    acknowledge_when_recorded(done);
}

void server_membership::handle_repeated_announcement(const std::string& id,
                                                     const acknowledgement_handler& done)
{
    if (id != server_id_)
    {
        done(true); // Of an earlier server.
        return;
    }
    acknowledge_when_recorded(done);
}

void server_membership::acknowledge_when_recorded(const acknowledgement_handler& done)
{
    if (!is_draining_ || is_draining_recorded_)
    {
        done(true);
        return;
    }
    pending_draining_.push_back(done);
    if (pending_draining_.size() == 1)
    {
        record_draining();
    }
}

void server_membership::record_draining()
{
    if (member_ == 0)
    {
        join(); // Joins as draining, unless a join is in progress.
        return;
    }
    port_.propose(set_member_state{member_, member_state::draining},
                  [this, member = member_](error_kind error, const change_result& /*result*/)
                  { complete_pending_draining(error == error_kind::none && member == member_); });
}

void server_membership::complete_pending_draining(bool is_recorded)
{
    is_draining_recorded_ = is_recorded && is_draining_;
    for (const acknowledgement_handler& done : std::exchange(pending_draining_, {}))
    {
        done(is_recorded);
    }
}

void server_membership::handle_departure(const std::string& id)
{
    if (id != server_id_)
    {
        return;
    }
    if (!std::exchange(is_departing_, true))
    {
        port_.log_change("backend server " + id + " announces its departure");
    }
    complete_pending_draining(true); // The agent admits no flows for a departing server.
    is_draining_ = true;
    port_.report();
    port_.watch_departing_server();
}

void server_membership::handle_server_end()
{
    if (is_departing_)
    {
        port_.log_change("backend server " + server_id_ + " has ended");
        end_departure();
    }
}

void server_membership::end_departure()
{
    is_departing_ = false;
    port_.note_server_end();
    leave();
    service_.clear();
    server_id_.clear();
    is_draining_ = false;
}

void server_membership::leave()
{
    if (member_ != 0)
    {
        retire(member_);
    }
    clear_member();
}

void server_membership::retire(member_id member)
{
    retiring_.insert(member);
    port_.propose(retire_member{member},
                  [this, member](error_kind error, const change_result& /*result*/)
                  {
                      if (error == error_kind::none)
                      {
                          retiring_.erase(member);
                          return;
                      }
                      port_.log_change("control did not confirm that member " +
                                       std::to_string(member) + " was retired; trying again");
                      port_.schedule_retry();
                  });
}

void server_membership::retry()
{
    for (const member_id member : std::set<member_id>(retiring_))
    {
        retire(member);
    }
    join();
}

void server_membership::clear_member()
{
    member_ = 0;
    epoch_ = port_.new_epoch();
    is_draining_recorded_ = false;
}

void server_membership::join()
{
    if (member_ != 0 || is_joining_ || service_.empty())
    {
        return;
    }
    is_joining_ = true;
    announce_member edit;
    edit.name = identity_.name;
    edit.domain = identity_.domain;
    edit.service = service_;
    edit.data = identity_.data;
    edit.epoch = epoch_;
    edit.protocol = flow_protocol::packets;
    edit.state = state();
    port_.propose(edit, [this, epoch = epoch_, joined_as = edit.state](error_kind error,
                                                                       const change_result& result)
                  { handle_join_result(epoch, joined_as, error, result); });
}

void server_membership::handle_join_result(std::uint64_t epoch, member_state joined_as,
                                           error_kind error, const change_result& result)
{
    is_joining_ = false;
    if (error != error_kind::none || result.error != error_kind::none)
    {
        complete_pending_draining(false);
        port_.schedule_retry();
        return;
    }
    member_ = result.member;
    joined_at_ = result.made_at;
    if (!std::exchange(has_joined_, true) && result.is_first_at_address)
    {
        port_.note_first_incarnation();
    }
    if (epoch != epoch_)
    {
        leave(); // The server departed or was replaced before the answer came.
        join();
        return;
    }
    port_.log_change("joined as member " + std::to_string(member_) + " of service '" + service_ +
                     "'");
    port_.report();
    if (joined_as == member_state::draining)
    {
        complete_pending_draining(true);
    }
    else if (!pending_draining_.empty())
    {
        record_draining();
    }
}

void server_membership::handle_table(const subscriber_table& table)
{
    if (member_ != 0 && table.held() > joined_at_ && table.members().count(member_) == 0)
    {
        port_.log_change("member " + std::to_string(member_) +
                         " was retired by control; joining again");
        clear_member();
        join();
    }
}

} // namespace carawayshelf
