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

/** Packets that arrived before a process had its first table, in order of arrival. Clients and
    servers retransmit at increasing intervals during an outage; a packet kept here saves them the
    wait for one more retransmission. Not thread-safe. */
class early_packets
{
public:
    /** Packets older than this have been retransmitted, since clients and servers do so after 200
        ms. A larger backlog would delay the packets that arrive after it. */
    static constexpr duration max_age = std::chrono::milliseconds(200);

    /** Maximum memory for packets, in bytes. */
    static constexpr std::size_t max_bytes = std::size_t{1} * 1024 * 1024;

    struct item
    {
        time_point arrived;
        packet_envelope envelope; ///< Empty at a balancer.
        std::string packet;
    };

    /** Adds a packet. Returns how many packets were dropped because they were too old or to make
        room. */
    std::size_t add(time_point now, const packet_envelope& envelope, std::string_view packet);

    /** Removes all packets, and returns those that are not too old.
        @param dropped  is set to the number of packets that were too old */
    std::deque<item> take(time_point now, std::size_t& dropped);

    /** Removes all packets, passes those that are not too old to a function, flagged as having
        waited for the table, and flushes the port.
        @param send_packet  gets an item; may pass references to the item's memory to the port
        @return the number of packets that were dropped because they were too old */
    template <typename SendPacket>
    std::size_t send_all(time_point now, packet_port& port, const SendPacket& send_packet)
    {
        std::size_t dropped = 0;
        std::deque<item> kept = take(now, dropped);
        for (item& early : kept)
        {
            early.envelope.flags |= opening_flag_waited_for_table;
            send_packet(early);
        }
        port.flush(); // The port may still refer to memory of the items.
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
