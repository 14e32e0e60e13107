#pragma once

#include "carawayshelf_catalogue/change.hpp"
#include "carawayshelf_catalogue/route_history.hpp"
#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_steering/bucket_row.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carawayshelf
{

/** A service in the replicated state. */
struct service_state
{
    service_id id = 0;
    service_entry entry;
    std::uint64_t version = 0;
    generation changed_at = 0; ///< Last change of the entry or of any row.
    generation entry_changed_at = 0;
    std::vector<bucket_row> rows;
};

/** Whether a failure domain is out of service, and the generation that last changed this. */
struct domain_state
{
    bool out = false;
    generation changed_at = 0;
};

/** The replicated state machine: its state is a deterministic function of the log.

    Every control instance applies the same changes in the same order and so reaches the same state.
    The bucket assignment is part of the state, so a change of leader moves no bucket.
    Not thread-safe.
*/
class cluster_state
{
public:
    /** The whole state, as a snapshot stores it. */
    struct contents
    {
        generation held = 0; ///< Generation of the last change applied.
        service_id last_service = 0;
        member_id last_member = 0;
        generation horizon = 0; ///< Removals up to this generation may no longer be listed.
        std::map<std::string, service_state> services;
        std::map<member_id, member> members;
        std::map<std::string, domain_state> domains;
        std::map<std::string, std::uint64_t> removed_names; ///< Version that removed each name.
        std::deque<std::pair<generation, service_id>> removed_services;
        std::deque<std::pair<generation, member_id>> removed_members;
        std::deque<std::pair<change_id, change_result>> answers; ///< For resends; oldest first.
        traffic_configuration configuration;
        generation configuration_changed_at = 0; ///< Zero before the first configuration.
        earlier_services earlier;
    };

    cluster_state() = default;

    explicit cluster_state(contents from);

    /** Applies one committed change. A refused change returns an error and leaves the tables as
        they are. Precondition: the generation is higher than that of every earlier change. */
    change_result apply(generation now, const change& edit);

    /** Collects the changes after a generation. A subscriber of one service gets only that service
        and its members; an empty name selects all services. */
    table_update collect_update(generation since, const std::string& only_service) const;

    /** Version that a change must expect: that of the entry, that of its removal, or zero for a
        name that was never used. */
    std::uint64_t version_of(const std::string& service) const;

    const contents& data() const
    {
        return data_;
    }

    /** Returns the service with this name, or nullptr. */
    const service_state* find_service(const std::string& name) const;

private:
    change_result apply_edit(generation now, const put_service& edit);
    change_result apply_edit(generation now, const remove_service& edit);
    change_result apply_edit(generation now, const set_domain_state& edit);
    change_result apply_edit(generation now, const announce_member& edit);
    change_result apply_edit(generation now, const set_member_state& edit);
    change_result apply_edit(generation now, const retire_member& edit);
    change_result apply_edit(generation now, const release_buckets& edit);
    change_result apply_edit(generation now, const replace_configuration& edit);

    change_result check_put(const put_service& edit) const;
    earlier_services collect_earlier_services(const traffic_configuration& before) const;
    void reassign(generation now, const std::string& service);
    void store_answer(change_id id, const change_result& result);
    void discard_old_removals();
    service_update make_service_update(const service_state& service, generation since) const;
    void collect_rules(generation since, table_update& update) const;
    rules_view rules() const;

    contents data_;
    route_history routes_;
};

} // namespace carawayshelf
