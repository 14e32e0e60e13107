#include "carawayshelf_io/frame_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <utility>

namespace carawayshelf
{

boost::asio::ip::tcp::endpoint to_asio(const endpoint& value)
{
    return {boost::asio::ip::address_v4(value.address), value.port};
}

bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket)
{
    pollfd polled{socket.native_handle(), POLLRDHUP, 0};
    const int ready = ::poll(&polled, 1, 0);
    return ready > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

frame_connection::frame_connection(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket))
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void frame_connection::start(frame_handler on_frame, close_handler on_close)
{
    on_frame_ = std::move(on_frame);
    on_close_ = std::move(on_close);
    read_prefix();
}

void frame_connection::read_prefix()
{
    boost::asio::async_read(
        socket_, boost::asio::buffer(prefix_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*size*/)
        {
            if (error)
            {
                self->close(make_failure(error_kind::unreachable, error.message()));
                return;
            }
            const std::size_t size = decode_frame_length(self->prefix_.data());
            if (size == 0 || size > max_frame_bytes)
            {
                self->close(make_failure(error_kind::malformed_frame,
                                         "received a frame with an invalid length of " +
                                             std::to_string(size) + " bytes"));
                return;
            }
            self->read_body(size);
        });
}

void frame_connection::read_body(std::size_t size)
{
    is_receiving_ = true;
    body_.resize(size);
    boost::asio::async_read(
        socket_, boost::asio::buffer(body_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*size*/)
        {
            if (error)
            {
                self->close(make_failure(error_kind::unreachable, error.message()));
                return;
            }
            self->is_receiving_ = false;
            frame received;
            const failure broken = decode_frame(self->body_, received);
            if (broken)
            {
                self->close(broken);
                return;
            }
            if (self->on_frame_)
            {
                // Copied, because the handler may close the connection, which destroys on_frame_.
                const frame_handler handler = self->on_frame_;
                handler(received);
            }
            if (self->is_open_)
            {
                self->read_prefix();
            }
        });
}

void frame_connection::send(const frame& value)
{
    send_encoded(kind_of(value), std::make_shared<const std::string>(encode_frame(value)));
}

void frame_connection::send_encoded(frame_kind kind, std::shared_ptr<const std::string> bytes)
{
    if (!is_open_)
    {
        return;
    }
    queued_bytes_ += bytes->size();
    if (queued_bytes_ > max_queued_bytes)
    {
        close(make_failure(error_kind::unreachable, "the peer reads too slowly"));
        return;
    }
    sent_frames().add(kind, bytes->size());
    send_queue_.push_back(std::move(bytes));
    if (send_queue_.size() == 1)
    {
        write_next();
    }
}

void frame_connection::write_next()
{
    boost::asio::async_write(
        socket_, boost::asio::buffer(*send_queue_.front()),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size)
        {
            if (error || !self->is_open_)
            {
                self->close(make_failure(error_kind::unreachable, error.message()));
                return;
            }
            self->sent_bytes_ += size;
            self->queued_bytes_ -= size;
            self->send_queue_.pop_front();
            if (!self->send_queue_.empty())
            {
                self->write_next();
            }
        });
}

void frame_connection::close(const failure& why)
{
    if (!is_open_)
    {
        return;
    }
    is_open_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
    on_frame_ = nullptr;
    const close_handler handler = std::exchange(on_close_, nullptr);
    if (handler)
    {
        handler(why);
    }
}

} // namespace carawayshelf
