#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/flow_key.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** An observation of a resource (RFC 7641) by a flow. */
struct observation
{
    std::string token;
    std::uint16_t last_notification = 0; ///< Message ID; a Reset with it ends the observation.
};

/** A request of a flow that has not been answered yet. */
struct open_request
{
    std::string token;
    std::uint16_t message_id = 0;
};

/** A flow that an agent holds, or that it placed on another agent. */
struct flow
{
    endpoint reply_to; ///< Balancer that relayed its last datagram.
    time_point last_seen;
    /** Newest generation of the agent's table and the flow's row when the flow was adopted or
        placed. */
    generation adopted_at = 0;
    member_id placed_on = 0;  ///< Agent that holds the flow instead of this one, or zero.
    generation placed_at = 0; ///< Row generation of the last datagram forwarded there.
    std::vector<observation> observations;
    std::vector<open_request> open_requests;
    /** Message IDs of the last separate responses, oldest first, to recognise retransmissions. */
    std::vector<std::uint16_t> answer_ids;

    bool has_answer_id(std::uint16_t message_id) const
    {
        return std::find(answer_ids.begin(), answer_ids.end(), message_id) != answer_ids.end();
    }

    void add_answer_id(std::uint16_t message_id)
    {
        constexpr std::size_t max_answer_ids = 4;
        if (answer_ids.size() == max_answer_ids)
        {
            answer_ids.erase(answer_ids.begin());
        }
        answer_ids.push_back(message_id);
    }

    /** Whether it has an observation or an unanswered request. */
    bool is_busy() const
    {
        return !observations.empty() || !open_requests.empty();
    }
};

/** The flows of an agent, with a count for each bucket. Not thread-safe. */
class flow_table
{
public:
    using map_type = std::unordered_map<flow_key, flow>;

    /** Returns the flow of a key, or nullptr. */
    flow* find(const flow_key& key);

    /** Adds a flow. Precondition: the table has none with this key. */
    flow& add(const flow_key& key);

    void remove(const flow_key& key);

    /** Removes the flows for which the predicate returns true. Calls before_removal with each. */
    void remove_if(const std::function<bool(const flow_key&, const flow&)>& predicate,
                   const std::function<void(const flow_key&, flow&)>& before_removal);

    std::size_t count_in_bucket(std::uint16_t bucket) const
    {
        return count_by_bucket_[bucket];
    }

    std::size_t size() const
    {
        return flows_.size();
    }

    map_type& all()
    {
        return flows_;
    }

    const map_type& all() const
    {
        return flows_;
    }

private:
    map_type flows_;
    std::array<std::uint32_t, buckets_per_service> count_by_bucket_{};
};

} // namespace carawayshelf
