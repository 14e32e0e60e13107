#pragma once

#include "carawayshelf_catalogue/change.hpp"
#include "carawayshelf_catalogue/subscriber_table.hpp"
#include "carawayshelf_packets/server_announcement.hpp"

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawayshelf
{

/** Interface of server_membership to control. Called on the control thread. */
class membership_port
{
public:
    using result_handler = std::function<void(error_kind, const change_result&)>;

    virtual ~membership_port() = default;

    /** Proposes a change. The handler is called once the change was made, was refused, or has no
        known outcome. */
    virtual void propose(const change& edit, result_handler done) = 0;

    /** Schedules a report of the state to control. */
    virtual void report() = 0;

    /** Schedules a call of server_membership::retry() after a delay. */
    virtual void schedule_retry() = 0;

    /** Calls server_membership::handle_server_end() once the departing backend server has ended. */
    virtual void watch_departing_server() = 0;

    /** The departed backend server has ended, or another one has taken its place: its flows are
        lost. */
    virtual void note_server_end() = 0;

    /** Returns an epoch that no earlier member had. */
    virtual std::uint64_t new_epoch() = 0;

    /** Control has never known another member at this agent's data address, or has forgotten it: no
        earlier incarnation of the agent has admitted flows that may still be open. */
    virtual void note_first_incarnation() = 0;

    /** Logs a change of the membership. */
    virtual void log_change(const std::string& message) = 0;
};

/** Keeps an agent's membership in the replicated state in line with its backend server: joins when
    the server announces itself, records draining, and retires when the server has ended. A server
    that announces its departure still holds its flows until it ends, so that its member stays until
    then. Not thread-safe; no I/O. */
class server_membership
{
public:
    /** Called with whether the announcement can be acknowledged. */
    using acknowledgement_handler = std::function<void(bool)>;

    struct identity
    {
        std::string name;
        std::string domain;
        endpoint data;
    };

    server_membership(identity agent_identity, membership_port& port);

    /** Handles an announcement that packet_agent accepted as new. An announcement of draining can
        be acknowledged only once control has recorded it: otherwise an agent that restarts would
        admit new flows for a server whose draining was acknowledged. */
    void handle_announcement(const server_announcement& announcement,
                             const acknowledgement_handler& done);

    /** Handles an announcement that packet_agent did not accept as new: a retransmitted or delayed
        one. */
    void handle_repeated_announcement(const std::string& id, const acknowledgement_handler& done);

    /** Handles the announcement of the backend server that it is about to end: the member accepts
        no new flows from now on. Ignored if another server has taken its place. */
    void handle_departure(const std::string& id);

    /** Handles the end of a backend server that has announced its departure: retires the member.
        Ignored without such an announcement. */
    void handle_server_end();

    /** Proposes again the joins and retirements that control did not confirm. */
    void retry();

    /** Joins again if the table shows that control has retired the member. */
    void handle_table(const subscriber_table& table);

    /** The member id; 0 while there is no member. */
    member_id member() const
    {
        return member_;
    }

    member_state state() const;

private:
    void join();
    void retire(member_id member);
    void acknowledge_when_recorded(const acknowledgement_handler& done);
    void leave();
    void end_departure();
    void clear_member();
    void record_draining();
    void handle_join_result(std::uint64_t epoch, member_state joined_as, error_kind error,
                            const change_result& result);
    void complete_pending_draining(bool is_recorded);

    identity identity_;
    membership_port& port_;
    std::uint64_t epoch_;
    std::string service_; ///< Empty while no backend server is known.
    std::string server_id_;
    bool is_draining_ = false;
    bool is_cold_ = false;
    bool is_joining_ = false;
    bool has_joined_ = false; ///< Since this process started.
    bool is_draining_recorded_ = false;
    bool is_departing_ = false; ///< The backend server has announced its departure.
    member_id member_ = 0;
    generation joined_at_ = 0;
    std::set<member_id> retiring_; ///< Members whose retirement control has not confirmed.
    std::vector<acknowledgement_handler> pending_draining_; ///< Handlers of draining announcements
                                                            ///< that control has not recorded yet.
};

} // namespace carawayshelf
