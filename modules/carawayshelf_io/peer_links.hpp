#pragma once

#include "carawayshelf_consensus/voter_renewal.hpp"
#include "carawayshelf_core/clock_time.hpp"
#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/lifetime_guard.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace carawayshelf
{

/** The outgoing connections of a control instance, one to each other instance that it knows of. A
    connection on which probes are no longer answered is replaced. Runs on the io_context's thread.
 */
class peer_links
{
public:
    using connection_pointer = std::shared_ptr<frame_connection>;
    using connect_handler = std::function<void(const connection_pointer&)>;

    /** A probe that is not answered for this long: the connection is dead, though it looks open.
        Four probes. */
    static constexpr duration silent_limit = std::chrono::seconds(1);

    /** @param on_connected  gets each new connection; it must start it */
    peer_links(boost::asio::io_context& io, instance_slot own, connect_handler on_connected);

    /** Learns of an instance. Its own slot is left out. */
    void learn(time_point now, instance_slot slot, const endpoint& address);

    /** Probes what is connected and closes what is silent. Instances that were neither connected
        nor learned of for a while are forgotten. */
    void maintain(time_point now);

    /** Connects what is not connected. */
    void connect_missing(time_point now);

    /** A frame arrived on a connection. */
    void hear(time_point now, const frame_connection* connection);

    /** A connection was lost. Returns its slot, or zero for one that is not outgoing. */
    instance_slot lose(const frame_connection* connection);

    /** The open connection to a slot, or nullptr. */
    connection_pointer connection_of(instance_slot slot) const;

    bool is_outgoing(const frame_connection* connection) const;

private:
    struct link
    {
        endpoint address;
        connection_pointer connection;
        std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
        time_point since; ///< Of the attempt to connect.
        time_point heard;
        time_point learned;
    };

    void connect(time_point now, instance_slot slot, link& peer);

    boost::asio::io_context& io_;
    instance_slot own_;
    connect_handler on_connected_;
    std::map<instance_slot, link> links_;
    std::uint64_t last_probe_ = 0;
    lifetime_guard life_;
};

} // namespace carawayshelf
