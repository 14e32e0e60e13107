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

/** What server_membership reaches control with. Calls come on the control thread. */
class membership_port
{
public:
    using result_handler = std::function<void(error_kind, const change_result&)>;

    virtual ~membership_port() = default;

    /** Proposes a change; the handler is told once it was made, refused or lost. */
    virtual void propose(const change& edit, result_handler done) = 0;

    /** Reports the state to control, soon. */
    virtual void report() = 0;

    /** Asks for a call of server_membership::retry() after a pause. */
    virtual void schedule_retry() = 0;

    /** A number that no earlier member had. */
    virtual std::uint64_t new_epoch() = 0;

    /** The membership has changed. */
    virtual void log_change(const std::string& what) = 0;
};

/** The membership of an agent with its backend server in the replicated state: joins when the
    server announces itself, leaves when it departs, and has it recorded when it drains. Not
    thread-safe; no I/O. */
class server_membership
{
public:
    /** Told whether the announcement can be acknowledged. */
    using acknowledgement_handler = std::function<void(bool)>;

    struct identity
    {
        std::string name;
        std::string domain;
        endpoint data;
    };

    server_membership(identity own, membership_port& port);

    /** Takes in an announcement that the gate accepted; not one that was older than what it knows.
        One of draining can be acknowledged only once control has recorded it: else an agent that
        restarts would take new flows for a server that was told it gets none. */
    void handle_announcement(const server_announcement& announcement,
                             const acknowledgement_handler& done);

    /** Takes in an announcement that says nothing new to the gate: a resend, or a late one. */
    void handle_repeated_announcement(const std::string& id, const acknowledgement_handler& done);

    /** The gate has let the backend server go. */
    void handle_departure(const std::string& id);

    /** Tries again what control didn't confirm. */
    void retry();

    /** Joins anew when the table shows that it was retired. */
    void handle_table(const subscriber_table& table);

    /** The member id; 0 while it is none. */
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
    void forget_member();
    void record_draining();
    void on_joined(std::uint64_t epoch, member_state joined_as, error_kind error,
                   const change_result& result);
    void acknowledge_draining(bool is_recorded);

    identity own_;
    membership_port& port_;
    std::uint64_t epoch_;
    std::string service_; ///< Empty while no backend server is known.
    std::string server_id_;
    bool is_draining_ = false;
    bool is_cold_ = false;
    bool is_joining_ = false;
    bool is_draining_recorded_ = false;
    member_id member_ = 0;
    generation joined_at_ = 0;
    std::set<member_id> retiring_; ///< Members that control has not confirmed to have left.
    std::vector<acknowledgement_handler>
        pending_draining_; ///< Announcements of draining that are not recorded yet.
};

} // namespace carawayshelf
