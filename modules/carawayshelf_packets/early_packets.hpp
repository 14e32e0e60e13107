#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_packets/packet_port.hpp"
#include "carawayshelf_wire/packet_envelope.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Packets that came before a process held its first table, in the order of arrival. After an
    outage clients and servers send again at growing intervals; what they sent a moment before the
    table came needs no further round of that. Not thread-safe. */
class early_packets
{
public:
    /** Clients and servers send again after 200 ms, so what is older has been sent again; and a
        larger backlog would make those late that come after it. */
    static constexpr duration kept_for = std::chrono::milliseconds(200);

    /** Bytes of packets that are kept at most. */
    static constexpr std::size_t most_bytes = std::size_t{1} * 1024 * 1024;

    struct item
    {
        time_point arrived;
        packet_envelope envelope; ///< Empty at a balancer.
        std::string packet;
    };

    /** Keeps a packet. Returns how many older ones it took the place of. */
    std::size_t keep(time_point now, const packet_envelope& envelope, std::string_view packet);

    /** Takes out all that are still worth sending; the others are dropped.
        @param dropped  is set to how many were */
    std::deque<item> take(time_point now, std::size_t& dropped);

    /** Hands out all that are still worth sending, marked as early, one after the other, and has
       them sent. The others are dropped.
        @param hand_out  takes an item; what it sends may stay in the item's memory
        @return how many were dropped */
    template <typename HandOut>
    std::size_t release(time_point now, packet_port& port, const HandOut& hand_out)
    {
        std::size_t dropped = 0;
        std::deque<item> kept = take(now, dropped);
        for (item& early : kept)
        {
            early.envelope.flags |= opening_flag_waited_for_table;
            hand_out(early);
        }
        port.flush(); // It sends from the items' memory.
        return dropped;
    }

    bool is_empty() const
    {
        return items_.empty();
    }

private:
    std::deque<item> items_; ///< Oldest first.
    std::size_t bytes_ = 0;
};

} // namespace carawayshelf
