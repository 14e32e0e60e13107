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

/** A connection without a whole request for this long is closed. */
constexpr std::chrono::seconds idle_limit(20);

/** One connection; lives as long as an operation of it is under way. */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using answer_counts = std::shared_ptr<std::map<unsigned, std::uint64_t>>;

    http_session(boost::asio::ip::tcp::socket socket, http_handler handler, answer_counts answers)
        : stream_(std::move(socket)), handler_(std::move(handler)), answers_(std::move(answers))
    {
    }

    void read_next()
    {
        parser_.emplace();
        parser_->body_limit(http_server::max_body_bytes);
        stream_.expires_after(idle_limit);
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
            is_last_ = true;
            answer({413, "text/plain", "the body is too long: send a smaller one\n"});
            return;
        }
        if (error &&
            error.category() == http::make_error_code(http::error::end_of_stream).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
        {
            is_last_ = true;
            answer({400, "text/plain", error.message() + ": send HTTP/1.1\n"});
            return;
        }
        if (error)
        {
            return; // The peer has closed, or was idle for too long.
        }
        const http::request<http::string_body>& received = parser_->get();
        is_last_ = !received.keep_alive();
        http_request request{received.method_string().to_string(), received.target().to_string(),
                             received.body()};
        stream_.expires_never();
        handler_(request,
                 [self = shared_from_this()](const http_reply& reply) { self->answer(reply); });
    }

    void answer(const http_reply& reply)
    {
        ++(*answers_)[reply.status];
        response_ = {};
        response_.version(11);
        response_.result(reply.status);
        response_.set(http::field::content_type, reply.content_type);
        response_.keep_alive(!is_last_);
        response_.body() = reply.body;
        response_.prepare_payload();
        stream_.expires_after(idle_limit);
        http::async_write(stream_, response_,
                          [self = shared_from_this()](const boost::system::error_code& error,
                                                      std::size_t /*size*/)
                          {
                              if (error || self->is_last_)
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
    answer_counts answers_;
    bool is_last_ = false;
};

} // namespace

http_server::http_server(boost::asio::io_context& io, http_handler handler)
    : acceptor_(io), handler_(std::move(handler)),
      answers_(std::make_shared<std::map<unsigned, std::uint64_t>>())
{
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
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket)
        {
            if (!error)
            {
                std::make_shared<http_session>(std::move(socket), handler_, answers_)->read_next();
            }
            else
            {
                log_warning("an HTTP connection was not accepted: " + error.message());
            }
            if (acceptor_.is_open())
            {
                accept_next();
            }
        });
}

} // namespace carawayshelf
