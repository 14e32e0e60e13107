#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/lifetime_guard.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace carawayshelf
{

/** What a caller asks over HTTP. */
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
};

/** What it is answered. */
struct http_response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/** Answers a request, now or later, on the io_context's thread. Only the first answer is sent: a
   later one would reach the next request of the connection. */
using http_responder = std::function<void(const http_response&)>;

/** Handles a request; must see to it that the responder is called. */
using http_handler = std::function<void(const http_request&, const http_responder&)>;

/** A small HTTP/1.1 server with persistent connections. All handlers run on the io_context's
    thread. A request that can't be read is answered with 400, a body over the limit with 413. */
class http_server
{
public:
    /** Longest body that is read: a configuration of some ten thousand routes. */
    static constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;

    http_server(boost::asio::io_context& io, http_handler handler);

    /** Listens at an address. Errors: invalid_settings when it can't be bound. */
    failure start(const endpoint& address);

    /** Accepts no connection any more, and answers requests that come on open ones with 503. Those
        that are under way are answered. */
    void begin_stop();

    /** Requests that were taken and whose answers have not been written yet. */
    std::size_t pending_requests() const
    {
        return shared_->pending_requests;
    }

    /** How many requests were answered with each status. Call on the io_context's thread. */
    const std::map<unsigned, std::uint64_t>& response_counts() const
    {
        return shared_->response_counts;
    }

    /** What the server and its connections share. */
    struct shared_state
    {
        std::map<unsigned, std::uint64_t> response_counts;
        std::size_t pending_requests = 0;
        bool is_stopping = false;
    };

private:
    void accept_next();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handler handler_;
    std::shared_ptr<shared_state> shared_ = std::make_shared<shared_state>();
    lifetime_guard lifetime_;
};

} // namespace carawayshelf
