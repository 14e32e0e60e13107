#pragma once

#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_steering/packet_flow.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayshelf::process_tests
{

/** Checks that open flows stay whole: while the backend server of an open flow lives, the client
    gets no reset that the server didn't send, and its packets don't go to other servers only. Not
    thread-safe. */
class flow_judge
{
public:
    /** Packets of a flow may go to other servers for this long before that counts as a fault. */
    static constexpr duration max_misdirection = std::chrono::seconds(2);

    /** From this number of packets on, a flow counts as misdirected. */
    static constexpr std::size_t min_misdirected_packets = 3;

    /** A broken guarantee. */
    struct fault
    {
        time_point at;
        packet_flow flow;
        std::string server; ///< The server that holds the flow.
        std::string what;
    };

    /** The server has received the end of the handshake. */
    void note_opened(time_point now, const packet_flow& flow, const std::string& server);

    /** The flow has ended, or its server no longer lives. */
    void note_ended(const packet_flow& flow);

    /** The client has given the flow up because a request got no answer. */
    void note_given_up(time_point now, const packet_flow& flow);

    /** A server has ended: its flows are no longer checked. */
    void note_server_ended(const std::string& server);

    /** A configuration drops the route at an address: its flows are no longer checked, nor those
        that open before the route is restored. */
    void note_route_dropped(const endpoint& address);

    void note_route_restored(const endpoint& address);

    /** A packet of the client has arrived at a server.
        @param number  of the packet among those that the client sent for this flow */
    void note_arrival(time_point now, const packet_flow& flow, const std::string& server,
                      std::uint64_t number);

    /** The client has got a reset of the system. */
    void note_reset(time_point now, const packet_flow& flow);

    const std::vector<fault>& faults() const
    {
        return faults_;
    }

    /** Number of flows that were open at some time. */
    std::uint64_t opened_count() const
    {
        return opened_count_;
    }

private:
    struct open_flow
    {
        std::string server;
        time_point opened_at;
        time_point misdirected_since;
        std::multiset<std::uint64_t> misdirected; ///< Numbers of the packets since the last one
                                                  ///< that reached its server.
    };

    std::unordered_map<packet_flow, open_flow, packet_flow_hasher> open_;
    std::set<endpoint> dropped_routes_;
    std::vector<fault> faults_;
    std::uint64_t opened_count_ = 0;
};

} // namespace carawayshelf::process_tests
