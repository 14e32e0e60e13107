#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace carawayshelf
{

/** An opening packet that waits for room at the backend server. */
struct queued_opening
{
    packet_envelope envelope;
    packet_flow flow;
    std::string packet;
    time_point deadline;       ///< After this it is refused.
    time_point late_at;        ///< After this its answer would come later than its client hopes.
    time_point client_gone_at; ///< Unless another copy comes, its client has left by then.
};

/** Opening packets that wait before one backend server. Those whose answers can still be in time go
    before those that are late already, so that a backlog doesn't make everyone late; then the more
    urgent ones, then those whose time ends first. Not thread-safe. */
class opening_queue
{
public:
    /** Adds a packet.
        @param priority  0 goes first */
    void add(time_point now, std::uint32_t priority, queued_opening opening);

    /** Takes the next one out. */
    std::optional<queued_opening> take_next(time_point now);

    /** Takes out those whose time is over. */
    std::vector<queued_opening> take_expired(time_point now);

    /** How many go before a new one. */
    std::size_t count_ahead(bool is_late, std::uint32_t priority) const;

    /** A copy of a packet came. Returns whether the flow waits here.
        @param client_gone_at  unless another copy comes, its client has left by then */
    bool note_retransmission(time_point client_gone_at, const packet_flow& flow);

    bool is_empty() const
    {
        return waiting_.empty();
    }

    std::size_t size() const
    {
        return waiting_.size();
    }

private:
    /** Order in the queue; late ones come last. */
    struct queue_key
    {
        bool is_late = false;
        std::uint32_t priority = 0;
        time_point due; ///< When it turns late, or is given up.
        std::uint64_t arrival = 0;

        bool operator<(const queue_key& other) const
        {
            if (is_late && other.is_late)
            {
                return std::tie(priority, other.due, other.arrival) <
                       std::tie(other.priority, due, arrival);
            }
            return std::tie(is_late, priority, due, arrival) <
                   std::tie(other.is_late, other.priority, other.due, other.arrival);
        }
    };

    void move_late_packets(time_point now);

    std::map<queue_key, queued_opening> waiting_;
    std::unordered_map<packet_flow, queue_key, packet_flow_hasher> keys_;
    time_point next_expiry_ = time_point::max(); ///< None is over before this.
    std::uint64_t last_arrival_ = 0;
};

} // namespace carawayshelf
