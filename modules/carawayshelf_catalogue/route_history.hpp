#pragma once

#include "carawayshelf_catalogue/table_update.hpp"
#include "carawayshelf_core/identifiers.hpp"

#include <deque>
#include <unordered_map>
#include <utility>

namespace carawayshelf
{

/** Records which routes each configuration changed, so that a daemon is sent only those. It is not
    part of the replicated state: it starts empty when an instance starts, and a daemon whose
    generation is older gets the whole configuration. Not thread-safe. */
class route_history
{
public:
    /** Clears the history, which then covers only changes after a generation. */
    void reset(generation at);

    /** Records the routes that differ between a configuration and the one that replaces it.
        Precondition: now is higher than the generation of every earlier record. */
    void record_replacement(generation now, const rules_view& before, const rules_view& next);

    /** Whether the history holds all changes after a generation. */
    bool covers(generation since) const
    {
        return since != 0 && since >= horizon_;
    }

    /** Collects what changed after a generation: the changed routes with their earlier services,
        and the rules of all services if any of these changed. Precondition: covers(since). */
    std::shared_ptr<const traffic_rules> collect(generation since, const rules_view& now) const;

    /** Returns the addresses of routes removed after a generation. Precondition: covers(since). */
    std::vector<endpoint> routes_removed_after(generation since) const;

private:
    static constexpr std::size_t max_removals = 4096;

    std::unordered_map<endpoint, generation> changed_at_;
    std::deque<std::pair<generation, endpoint>> removed_; ///< Oldest first.
    generation services_changed_at_ = 0;
    generation horizon_ = 0; ///< Changes up to this generation may be missing.
};

} // namespace carawayshelf
