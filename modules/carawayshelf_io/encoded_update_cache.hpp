#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_consensus/log_store.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace carawayshelf
{

/** Updates as they go out, kept while the state stays as it is. Daemons that hold the same
    generation get the same bytes, so that an outage after which all of them subscribe anew costs
    one encoding, not one for each. Not thread-safe. */
class encoded_update_cache
{
public:
    using bytes = std::shared_ptr<const std::string>;

    /** What the updates are made of. */
    struct state_version
    {
        generation held = 0;
        log_index voters_index = 0; ///< Updates name the control instances, too.

        bool operator==(const state_version& other) const
        {
            return held == other.held && voters_index == other.voters_index;
        }
    };

    /** The update from one generation to the present state.
        @param only    the service whose slice it is, or empty for all
        @param encode  makes the bytes; called only where they are not known */
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

    /** Forgets all, so that what no connection has to send any more takes no memory. */
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
