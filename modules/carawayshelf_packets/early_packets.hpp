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

/** Packets that arrived before a process had its first table, in order of arrival. They are kept
    because clients and servers retransmit at increasing intervals, so that the next retransmission
    of a dropped packet may be late. Not thread-safe. */
class early_packets
{
public:
    /** Older packets are dropped: clients and servers retransmit after 200 ms, and a larger backlog
        would delay the packets that arrive after it. */
    static constexpr duration max_age = std::chrono::milliseconds(200);

    /** Maximum memory for packets, in bytes. */
    static constexpr std::size_t max_bytes = std::size_t{1} * 1024 * 1024;

    struct item
    {
        time_point arrived;
        packet_envelope envelope; ///< At a balancer, with the waiting time only.
        std::string packet;
    };

    /** Adds a packet. Returns the number of packets that were dropped because they were too old or
        because the memory limit was exceeded. */
    std::size_t add(time_point now, const packet_envelope& envelope, std::string_view packet);

    /** Removes all packets, and returns those that are not too old.
        @param dropped  is set to the number of packets that were too old */
    std::deque<item> take(time_point now, std::size_t& dropped);

    /** Removes all packets, passes those that are not too old to a function, with
        opening_flag_waited_for_table set and the waiting time added in their envelopes, and
        flushes the port.
        @param send_packet  called with each item; may pass references to its memory to the port
        @returns the number of packets that were dropped because they were too old */
    template <typename SendPacket>
    std::size_t send_all(time_point now, packet_port& port, const SendPacket& send_packet)
    {
        std::size_t dropped = 0;
        std::deque<item> kept = take(now, dropped);
        for (item& early : kept)
        {
            early.envelope.flags |= opening_flag_waited_for_table;
            // Without it, an opening packet would be reset whose next copy has opened the flow.
            early.envelope.waited += now - early.arrived;
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
