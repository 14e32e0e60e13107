#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/lifetime_guard.hpp"
#include "carawayshelf_io/pause_monitor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace carawayshelf
{

/** Whether the sender of a request still waits for its response: it has not closed the connection,
    as far as this machine knows, and no pause of this process puts that in doubt. */
using caller_check = std::function<bool()>;

struct http_request
{
    std::string method;
    std::string target;
    std::string body;
    /** Call on the io_context's thread; set by http_server. */
    caller_check is_caller_waiting = []
    {
        return true;
    };
};

struct http_response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/** Responds to a request, at once or later; call on the io_context's thread. Only the first call
    sends a response: a second one would answer the next request of the connection. */
using http_responder = std::function<void(const http_response&)>;

/** Handles a request. The responder must be called eventually. */
using http_handler = std::function<void(const http_request&, const http_responder&)>;

/** A small HTTP/1.1 server with persistent connections. Handlers run on the io_context's thread.
    Responds with 400 to a malformed request and with 413 to a body that is too long. */
class http_server
{
public:
    /** Enough for a configuration of about ten thousand routes. */
    static constexpr std::size_t default_max_body_bytes = std::size_t{8} * 1024 * 1024;

    /** @param max_body_bytes  of a request */
    http_server(boost::asio::io_context& io, http_handler handler,
                std::size_t max_body_bytes = default_max_body_bytes);

    /** Starts listening at an address. Errors: invalid_settings if it can't be bound. */
    failure start(const endpoint& address);

    /** From now on, responds with 503 to each request whose sender may have given up, and doesn't
        pass it to the handler. Call before start().
        @param pauses  must outlive the io_context's last handler */
    void reject_abandoned_requests(pause_monitor& pauses)
    {
        shared_->pauses = &pauses;
    }

    /** Stops accepting connections, and responds to new requests on open connections with 503.
        Pending requests still get their responses. */
    void begin_stop();

    /** Number of requests whose responses have not been written yet. */
    std::size_t pending_requests() const
    {
        return shared_->pending_requests;
    }

    /** Number of responses by status. Call on the io_context's thread. */
    const std::map<unsigned, std::uint64_t>& response_counts() const
    {
        return shared_->response_counts;
    }

    /** State shared by the server and its connections. */
    struct shared_state
    {
        std::map<unsigned, std::uint64_t> response_counts;
        std::size_t pending_requests = 0;
        bool is_stopping = false;
        pause_monitor* pauses = nullptr; ///< Unless null, abandoned requests are rejected.
    };

private:
    void accept_next();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handler handler_;
    std::size_t max_body_bytes_;
    std::shared_ptr<shared_state> shared_ = std::make_shared<shared_state>();
    lifetime_guard lifetime_;
};

} // namespace carawayshelf
