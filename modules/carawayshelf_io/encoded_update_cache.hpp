#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace carawayshelf
{

/** Cache of encoded updates, valid until the state changes. Daemons that hold the same generation
    get the same bytes, so that when all of them subscribe again after an outage, the update is
    encoded once instead of once per daemon. Not thread-safe. */
class encoded_update_cache
{
public:
    using bytes = std::shared_ptr<const std::string>;

    /** Version of the state that the updates are made from. */
    struct state_version
    {
        generation held = 0;
        std::uint64_t instances_version = 0; ///< Updates list the control instances as well.

        bool operator==(const state_version& other) const
        {
            return held == other.held && instances_version == other.instances_version;
        }
    };

    /** Returns the encoded update from one generation to the current state.
        @param only_service  the service that the update is limited to; empty for all services
        @param encode        encodes the update; called only if it is not cached */
    bytes get(const state_version& current_version, generation from,
              const std::string& only_service, const std::function<std::string()>& encode)
    {
        if (!(current_version == version_))
        {
            entries_.clear();
            version_ = current_version;
        }
        bytes& entry = entries_[{from, only_service}];
        if (!entry)
        {
            entry = std::make_shared<const std::string>(encode());
        }
        return entry;
    }

    /** Removes all entries; updates that no connection is still sending then free their memory. */
    void clear()
    {
        entries_.clear();
    }

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    state_version version_;
    std::map<std::pair<generation, std::string>, bytes> entries_;
};

} // namespace carawayshelf
