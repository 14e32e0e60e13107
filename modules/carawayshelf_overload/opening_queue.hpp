#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_overload/opening_copies.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawayshelf
{

/** An opening packet that waits for room at the backend server. */
struct queued_opening
{
    packet_envelope envelope;
    packet_flow flow;
    std::string packet;
    time_point deadline; ///< The packet is removed after this.
    time_point late_at;  ///< An answer to a packet that is admitted after this exceeds the route's
                         ///< target latency.
    time_point client_gone_at;   ///< Unless the client retransmits by then, it has given up.
    time_point added_at;         ///< When it was added to the queue.
    opening_copies copies{};     ///< The copies that have arrived here.
    bool can_be_refused = false; ///< Whether it is refused if it gets no turn.

    /** The envelope, with the time in the queue added to envelope.waited. */
    packet_envelope envelope_at(time_point now) const
    {
        packet_envelope result = envelope;
        result.waited += now - added_at;
        return result;
    }
};

/** Which of two opening packets of different priorities comes first. */
enum class opening_order
{
    in_time_first, ///< One that can still be answered in time, before the more urgent one.
    priority_first ///< The more urgent one, also if it is late.
};

/** Queue of opening packets for one backend server. Within a priority, packets that can still be
    answered within the target latency come first, so that a backlog doesn't make all of them late.
    They are ordered by earliest due time, late packets by latest due time. Not thread-safe. */
class opening_queue
{
public:
    explicit opening_queue(opening_order order = opening_order::in_time_first)
        : queue_(key_order{order})
    {
    }

    /** Adds a packet.
        @param priority  0 is the most urgent */
    void add(time_point now, std::uint32_t priority, queued_opening opening);

    /** Removes and returns the next packet, if there is one. */
    std::optional<queued_opening> take_next(time_point now);

    /** Removes and returns the packets whose deadline has passed. */
    std::vector<queued_opening> take_expired(time_point now);

    /** Number of packets that would precede a new one. */
    std::size_t count_ahead(bool is_late, std::uint32_t priority) const;

    /** Removes and returns the packets for which a function returns true.
        @param is_taken  called in the order of the queue with the number of packets that stay ahead
                         of a packet, its priority, and the packet */
    template <typename Predicate>
    std::vector<queued_opening> take_if(time_point now, const Predicate& is_taken);

    /** Records that a client has retransmitted an opening packet. Returns whether the flow is
        queued here.
        @param retransmission  number of the copy, from 1
        @param waited          in the processes that handled the copy */
    bool record_retransmission(time_point now, const packet_flow& flow,
                               std::uint32_t retransmission, duration waited);

    bool contains(const packet_flow& flow) const
    {
        return keys_.count(flow) != 0;
    }

    bool is_empty() const
    {
        return queue_.empty();
    }

    std::size_t size() const
    {
        return queue_.size();
    }

private:
    /** Position of a packet in the queue. */
    struct queue_key
    {
        bool is_late = false;
        std::uint32_t priority = 0;
        time_point due; ///< When the packet becomes late; once it is late, its deadline.
        std::uint64_t arrival = 0;
    };

    struct key_order
    {
        opening_order order = opening_order::in_time_first;

        bool operator()(const queue_key& a, const queue_key& b) const
        {
            if (a.priority != b.priority &&
                (a.is_late == b.is_late || order == opening_order::priority_first))
            {
                return a.priority < b.priority;
            }
            if (a.is_late != b.is_late)
            {
                return b.is_late;
            }
            return a.is_late ? std::tie(b.due, b.arrival) < std::tie(a.due, a.arrival)
                             : std::tie(a.due, a.arrival) < std::tie(b.due, b.arrival);
        }
    };

    void move_late_packets(time_point now);

    std::map<queue_key, queued_opening, key_order> queue_;
    std::unordered_map<packet_flow, queue_key, packet_flow_hasher> keys_;
    time_point next_expiry_ = time_point::max(); ///< No deadline is earlier than this.
    std::uint64_t last_arrival_ = 0;
};

template <typename Predicate>
std::vector<queued_opening> opening_queue::take_if(time_point now, const Predicate& is_taken)
{
    move_late_packets(now);
    std::vector<queued_opening> taken;
    std::size_t ahead = 0;
    for (auto item = queue_.begin(); item != queue_.end();)
    {
        if (!is_taken(ahead, item->first.priority, std::as_const(item->second)))
        {
            ++ahead;
            ++item;
            continue;
        }
        keys_.erase(item->second.flow);
        taken.push_back(std::move(item->second));
        item = queue_.erase(item);
    }
    return taken;
}

} // namespace carawayshelf
