#pragma once

#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_core/identifiers.hpp"

#include <deque>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** Which routes each configuration changed, so that a daemon is sent those and not the whole. It is
    not part of the replicated state: an instance that starts knows nothing from before, and sends
    whole configurations to daemons that are older. Not thread-safe. */
class route_history
{
public:
    /** Nothing is known of what happened up to a generation. */
    void reset(generation at);

    /** A configuration has replaced another one. */
    void record_replacement(generation now, const rules_view& before, const rules_view& next);

    /** Whether it is known what changed after a generation. */
    bool covers(generation since) const
    {
        return since != 0 && since >= horizon_;
    }

    /** What changed after a generation: the routes that did, with their earlier services, and the
        services' rules if any did. Precondition: covers(since). */
    std::shared_ptr<const traffic_rules> collect(generation since, const rules_view& now) const;

    /** Addresses of routes that were removed after a generation. */
    std::vector<endpoint> routes_removed_after(generation since) const;

private:
    static constexpr std::size_t max_removals = 4096;

    std::unordered_map<endpoint, generation> changed_at_;
    std::deque<std::pair<generation, endpoint>> removed_; ///< Oldest first.
    generation services_changed_at_ = 0;
    generation horizon_ = 0;
};

} // namespace carawayshelf
