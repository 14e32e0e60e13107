#pragma once

#include "carawayshelf_consensus/membership_manager.hpp"
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

/** The outgoing connections of a control instance, one to every other instance that it knows of. A
    connection on which probes are no longer answered is replaced. All calls and handlers run on the
    io_context's thread. */
class peer_links
{
public:
    using connection_pointer = std::shared_ptr<frame_connection>;
    using connect_handler = std::function<void(const connection_pointer&)>;

    /** A connection on which nothing arrives for this long counts as dead: four probes without an
        answer. */
    static constexpr duration probe_timeout = std::chrono::seconds(1);

    /** @param own_slot      slot of this instance
        @param on_connected  called with each new connection; must call its start() */
    peer_links(boost::asio::io_context& io, instance_slot own_slot, connect_handler on_connected);

    /** Adds an instance or updates its address. Ignores the slot of this instance itself. */
    void add(time_point now, instance_slot slot, const endpoint& address);

    /** Sends a probe on each connection and closes those that are silent. Removes instances that
        are not connected and were not added again for some time. */
    void maintain(time_point now);

    /** Starts connection attempts to the instances that are not connected. */
    void connect_missing(time_point now);

    /** Notes that a frame arrived on a connection. */
    void note_frame(time_point now, const frame_connection* connection);

    /** Removes a closed connection. Returns its slot, or zero if it was not an outgoing one. */
    instance_slot remove_connection(const frame_connection* connection);

    /** The open connection to a slot, or nullptr. */
    connection_pointer connection_of(instance_slot slot) const;

    /** The open connections to all instances. */
    std::vector<connection_pointer> connections() const;

    bool is_outgoing(const frame_connection* connection) const;

private:
    struct link
    {
        endpoint address;
        connection_pointer connection;
        std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
        time_point connect_started_at; ///< Start of the last connection attempt.
        time_point last_heard;
        time_point last_added;
    };

    void connect(time_point now, instance_slot slot, link& peer);

    boost::asio::io_context& io_;
    instance_slot own_slot_;
    connect_handler on_connected_;
    std::map<instance_slot, link> links_;
    std::uint64_t last_probe_ = 0;
    lifetime_guard lifetime_;
};

} // namespace carawayshelf
