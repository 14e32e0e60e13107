#include "carawayshelf_io/http_server.hpp"

#include "carawayshelf_io/frame_connection.hpp"
#include "carawayshelf_io/json_log.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace carawayshelf
{

namespace
{

namespace http = boost::beast::http;

/** Closes a connection that takes longer than this to send a complete request or to receive a
    response. */
constexpr std::chrono::seconds idle_timeout(20);

/** One connection; kept alive by its pending operations. */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using shared_pointer = std::shared_ptr<http_server::shared_state>;

    http_session(boost::asio::ip::tcp::socket socket, http_handler handler,
                 std::size_t max_body_bytes, shared_pointer shared)
        : stream_(std::move(socket)), handler_(std::move(handler)), max_body_bytes_(max_body_bytes),
          shared_(std::move(shared)),
          opened_at_(shared_->pauses == nullptr ? time_point() : shared_->pauses->note())
    {
    }

    void read_next()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes_);
        stream_.expires_after(idle_timeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](const boost::system::error_code& error,
                                                     std::size_t /*size*/)
                         { self->on_read(error); });
    }

private:
    void on_read(const boost::system::error_code& error)
    {
        if (error == http::error::body_limit)
        {
            close_after_response_ = true;
            begin_request();
            send_response(request_number_,
                          {413, "text/plain", "the body is too long: send a smaller one\n"});
            return;
        }
        if (error &&
            error.category() == http::make_error_code(http::error::end_of_stream).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
        {
            close_after_response_ = true;
            begin_request();
            send_response(request_number_,
                          {400, "text/plain", error.message() + ": send HTTP/1.1\n"});
            return;
        }
        if (error)
        {
            return; // The peer closed the connection, or idle_timeout has passed.
        }
        const http::request<http::string_body>& received = parser_->get();
        close_after_response_ = !received.keep_alive();
        http_request request{received.method_string().to_string(), received.target().to_string(),
                             received.body(),
                             [self = shared_from_this()]
                             {
                                 return self->is_caller_waiting();
                             }};
        stream_.expires_never();
        begin_request();
        if (shared_->is_stopping)
        {
            close_after_response_ = true;
            send_response(request_number_,
                          {503, "text/plain", "this instance stops: call another one\n"});
            return;
        }
        if (shared_->pauses != nullptr && !is_caller_waiting())
        {
            log_warning("rejected a request whose sender may have given up: " +
                        abbreviate(request.method + " " + request.target));
            close_after_response_ = true;
            send_response(request_number_,
                          {503, "text/plain",
                           "not carried out, since it may have been delayed: send it again, over a "
                           "connection that stays open until the response\n"});
            return;
        }
        handler_(request, [self = shared_from_this(),
                           number = request_number_](const http_response& response)
                 { self->send_response(number, response); });
    }

    bool is_caller_waiting()
    {
        const bool may_have_waited =
            shared_->pauses != nullptr && shared_->pauses->may_have_waited(opened_at_);
        return !may_have_waited && !is_closed_by_peer(stream_.socket());
    }

    void begin_request()
    {
        ++request_number_;
        is_response_sent_ = false;
        ++shared_->pending_requests;
    }

    /** @param number  number of the request that the response belongs to */
    void send_response(std::uint64_t number, const http_response& response)
    {
        if (number != request_number_ || is_response_sent_)
        {
            log_warning("dropped a second response to an HTTP request, status " +
                        std::to_string(response.status));
            return;
        }
        is_response_sent_ = true;
        close_after_response_ = close_after_response_ || shared_->is_stopping;
        ++shared_->response_counts[response.status];
        response_ = {};
        response_.version(11);
        response_.result(response.status);
        response_.set(http::field::content_type, response.content_type);
        response_.keep_alive(!close_after_response_);
        response_.body() = response.body;
        response_.prepare_payload();
        stream_.expires_after(idle_timeout);
        http::async_write(stream_, response_,
                          [self = shared_from_this()](const boost::system::error_code& error,
                                                      std::size_t /*size*/)
                          {
                              --self->shared_->pending_requests;
                              if (error || self->close_after_response_)
                              {
                                  boost::system::error_code ignored;
                                  self->stream_.socket().shutdown(
                                      boost::asio::ip::tcp::socket::shutdown_send, ignored);
                                  return;
                              }
                              self->read_next();
                          });
    }

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    http_handler handler_;
    std::size_t max_body_bytes_;
    shared_pointer shared_;
    time_point opened_at_;             ///< By the clock of the pause monitor.
    std::uint64_t request_number_ = 0; ///< Number of the current request.
    bool is_response_sent_ = false;
    bool close_after_response_ = false;
};

} // namespace

http_server::http_server(boost::asio::io_context& io, http_handler handler,
                         std::size_t max_body_bytes)
    : acceptor_(io), handler_(std::move(handler)), max_body_bytes_(max_body_bytes)
{
}

void http_server::begin_stop()
{
    shared_->is_stopping = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

failure http_server::start(const endpoint& address)
{
    boost::system::error_code error;
    acceptor_.open(boost::asio::ip::tcp::v4(), error);
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor_.bind(to_asio(address), error);
    if (!error)
    {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return make_failure(error_kind::invalid_settings,
                            "HTTP address " + to_string(address) +
                                " can't be bound: " + error.message() + "; choose a free one");
    }
    accept_next();
    return {};
}

void http_server::accept_next()
{
    acceptor_.async_accept(lifetime_.guard(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket)
        {
            if (!error)
            {
                std::make_shared<http_session>(std::move(socket), handler_, max_body_bytes_,
                                               shared_)
                    ->read_next();
            }
            else if (acceptor_.is_open())
            {
                log_warning("could not accept an HTTP connection: " + error.message());
            }
            if (acceptor_.is_open())
            {
                accept_next();
            }
        }));
}

} // namespace carawayshelf
