#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/frame_counters.hpp"
#include "carawayshelf_wire/frame_codec.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace carawayshelf
{

boost::asio::ip::tcp::endpoint to_asio(const endpoint& value);

/** Whether the peer of an open connection has closed it, as far as this machine knows. Also detects
    this while received bytes are waiting to be read. */
bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

/** A TCP connection that carries frames. A pending read or write keeps the object alive. All calls
    and handlers run on its io_context's thread. */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using frame_handler = std::function<void(frame&)>;
    using close_handler = std::function<void(const failure&)>;

    /** Maximum bytes queued for a slow peer; a frame that exceeds it closes the connection. */
    static constexpr std::size_t max_queued_bytes = std::size_t{512} * 1024 * 1024;

    explicit frame_connection(boost::asio::ip::tcp::socket socket);

    /** Starts reading. The handlers are destroyed when the connection closes. */
    void start(frame_handler on_frame, close_handler on_close);

    void send(const frame& value);

    /** Sends the output of encode_frame(), which several connections can share. */
    void send_encoded(frame_kind kind, std::shared_ptr<const std::string> bytes);

    /** Closes the connection and calls the close handler; does nothing if it is closed already. */
    void close(const failure& why);

    bool is_open() const
    {
        return is_open_;
    }

    /** Whether the connection is open, and the peer has not closed it as far as this machine
        knows. Also true while received frames are waiting to be read. */
    bool is_peer_present()
    {
        return is_open_ && !is_closed_by_peer(socket_);
    }

    /** Whether a frame has been received in part. */
    bool is_receiving() const
    {
        return is_receiving_;
    }

    std::uint64_t sent_bytes() const
    {
        return sent_bytes_;
    }

private:
    void read_prefix();
    void read_body(std::size_t size);
    void write_next();

    boost::asio::ip::tcp::socket socket_;
    std::array<std::uint8_t, frame_prefix_bytes> prefix_{};
    std::string body_;
    std::deque<std::shared_ptr<const std::string>> send_queue_;
    std::size_t queued_bytes_ = 0;
    std::uint64_t sent_bytes_ = 0;
    bool is_open_ = true;
    bool is_receiving_ = false;
    frame_handler on_frame_;
    close_handler on_close_;
};

} // namespace carawayshelf
