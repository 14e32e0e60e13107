#include "carawayshelf_io/peer_links.hpp"
#include "carawayshelf_io/steady_time.hpp"

#include <utility>

namespace carawayshelf
{

namespace
{

/** A connection attempt that takes longer is aborted; long enough for many round trips. */
constexpr duration connect_timeout = std::chrono::milliseconds(100);

/** Minimum time from the start of a failed attempt to the next one; short compared with the time
    that an instance takes to start. */
constexpr duration retry_interval = std::chrono::milliseconds(10);

/** A disconnected instance that was not added again for this long is removed. */
constexpr duration disconnected_peer_retention = std::chrono::seconds(30);

} // namespace

peer_links::peer_links(boost::asio::io_context& io, instance_slot own_slot,
                       connect_handler on_connected)
    : io_(io), own_slot_(own_slot), on_connected_(std::move(on_connected))
{
}

void peer_links::add(time_point now, instance_slot slot, const endpoint& address)
{
    if (slot == own_slot_ || slot == 0 || address.is_none())
    {
        return;
    }
    link& peer = links_[slot];
    peer.address = address;
    peer.last_added = now;
}

void peer_links::maintain(time_point now)
{
    for (auto item = links_.begin(); item != links_.end();)
    {
        const auto current = item++;
        link& peer = current->second;
        if (peer.connection && now - peer.last_heard > probe_timeout)
        {
            const connection_pointer silent = peer.connection;
            silent->close(make_failure(error_kind::unreachable, "the peer does not answer probes"));
        }
        else if (peer.connection)
        {
            frame sent;
            sent.probe = std::make_unique<buffers::link_probe_object>();
            sent.probe->number = ++last_probe_;
            peer.connection->send(sent);
        }
        else if (now - peer.last_added > disconnected_peer_retention)
        {
            links_.erase(current);
        }
    }
    connect_missing(now);
}

void peer_links::connect_missing(time_point now)
{
    for (auto& [slot, peer] : links_)
    {
        const duration waited = now - peer.connect_started_at;
        if (!peer.connection && waited >= (peer.connecting ? connect_timeout : retry_interval))
        {
            connect(now, slot, peer);
        }
    }
}

void peer_links::connect(time_point now, instance_slot slot, link& peer)
{
    if (peer.connecting)
    {
        boost::system::error_code ignored;
        peer.connecting->close(ignored);
    }
    peer.connect_started_at = now;
    const std::shared_ptr<boost::asio::ip::tcp::socket> socket =
        std::make_shared<boost::asio::ip::tcp::socket>(io_);
    peer.connecting = socket;
    socket->async_connect(to_asio(peer.address),
                          lifetime_.guard(
                              [this, slot, socket](const boost::system::error_code& error)
                              {
                                  const auto found = links_.find(slot);
                                  if (found == links_.end() || found->second.connecting != socket)
                                  {
                                      return; // A later attempt has replaced this one.
                                  }
                                  link& connected = found->second;
                                  connected.connecting = nullptr;
                                  if (error)
                                  {
                                      return;
                                  }
                                  connected.last_heard = steady_now();
                                  connected.connection =
                                      std::make_shared<frame_connection>(std::move(*socket));
                                  on_connected_(connected.connection);
                              }));
}

void peer_links::note_frame(time_point now, const frame_connection* connection)
{
    for (auto& [slot, peer] : links_)
    {
        if (peer.connection.get() == connection)
        {
            peer.last_heard = now;
        }
    }
}

instance_slot peer_links::remove_connection(const frame_connection* connection)
{
    for (auto& [slot, peer] : links_)
    {
        if (connection != nullptr && peer.connection.get() == connection)
        {
            peer.connection = nullptr;
            return slot;
        }
    }
    return 0;
}

peer_links::connection_pointer peer_links::connection_of(instance_slot slot) const
{
    const auto found = links_.find(slot);
    return found == links_.end() ? nullptr : found->second.connection;
}

std::vector<peer_links::connection_pointer> peer_links::connections() const
{
    std::vector<connection_pointer> open;
    for (const auto& [slot, peer] : links_)
    {
        if (peer.connection)
        {
            open.push_back(peer.connection);
        }
    }
    return open;
}

bool peer_links::is_outgoing(const frame_connection* connection) const
{
    for (const auto& [slot, peer] : links_)
    {
        if (peer.connection.get() == connection)
        {
            return true;
        }
    }
    return false;
}

} // namespace carawayshelf
