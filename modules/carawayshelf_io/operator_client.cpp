#include "carawayshelf_io/operator_client.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace carawayshelf
{

namespace
{

constexpr std::chrono::milliseconds attempt_timeout(6000);
constexpr std::chrono::milliseconds retry_interval(200);

bool is_retryable(error_kind error)
{
    return error == error_kind::no_leader || error == error_kind::not_confirmed ||
           error == error_kind::outdated_order;
}

/** Copies a request; the generated types have no copy constructor. */
std::unique_ptr<buffers::request_object> copy_request(const buffers::request_object& request)
{
    std::unique_ptr<buffers::request_object> copy = std::make_unique<buffers::request_object>();
    copy->number = request.number;
    copy->kind = request.kind;
    copy->name = request.name;
    copy->generation = request.generation;
    const std::optional<change> edit =
        request.proposed ? unpack_change(*request.proposed) : std::optional<change>();
    if (edit)
    {
        copy->proposed = pack_change(*edit);
    }
    return copy;
}

} // namespace

operator_client::operator_client(std::vector<endpoint> instances, std::chrono::milliseconds timeout)
    : instances_(std::move(instances)), timeout_(timeout)
{
}

failure operator_client::call(const buffers::request_object& request, buffers::reply_object& reply)
{
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + timeout_;
    // Reported as unreachable only if no instance received the request.
    error_kind last_error = error_kind::unreachable;
    std::string detail;
    do
    {
        for (const endpoint& instance : instances_)
        {
            if (!call_instance(instance, request, reply))
            {
                continue;
            }
            const error_kind error = static_cast<error_kind>(reply.error);
            if (!is_retryable(error))
            {
                return {};
            }
            if (last_error != error_kind::not_confirmed)
            {
                last_error = error;
                detail = reply.detail;
            }
        }
        std::this_thread::sleep_for(retry_interval);
    } while (std::chrono::steady_clock::now() < deadline);
    return make_failure(last_error, detail);
}

bool operator_client::call_instance(const endpoint& instance,
                                    const buffers::request_object& request,
                                    buffers::reply_object& reply)
{
    bool is_done = false;
    frame sent;
    sent.client_request = copy_request(request);
    const bool is_sent = exchange_frames(instance, std::min(attempt_timeout, timeout_), sent,
                                         [&](frame& received)
                                         {
                                             if (!received.client_reply)
                                             {
                                                 return false;
                                             }
                                             reply = std::move(*received.client_reply);
                                             is_done = true;
                                             return true;
                                         });
    if (is_sent && !is_done)
    {
        reply.error = static_cast<std::uint8_t>(error_kind::not_confirmed);
        reply.detail = "control instance " + to_string(instance) + " did not answer";
        return true;
    }
    return is_done;
}

std::string operator_client::claim_restart_state(const std::string& name)
{
    std::string content;
    frame sent;
    sent.claim = std::make_unique<buffers::parcel_object>();
    sent.claim->name = name;
    for (const endpoint& instance : instances_)
    {
        exchange_frames(instance, timeout_, sent,
                        [&content](frame& received)
                        {
                            if (received.claimed && !received.claimed->content.empty())
                            {
                                content.assign(received.claimed->content.begin(),
                                               received.claimed->content.end());
                            }
                            return received.claimed != nullptr;
                        });
    }
    return content;
}

bool operator_client::exchange_frames(const endpoint& instance, std::chrono::milliseconds timeout,
                                      const frame& sent,
                                      const response_handler& handle_response) const
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    bool is_sent = false;
    std::shared_ptr<frame_connection> connection;
    socket.async_connect(to_asio(instance),
                         [&](const boost::system::error_code& error)
                         {
                             if (error)
                             {
                                 io.stop();
                                 return;
                             }
                             connection = std::make_shared<frame_connection>(std::move(socket));
                             connection->start(
                                 [&](frame& received)
                                 {
                                     if (handle_response(received))
                                     {
                                         io.stop();
                                     }
                                 },
                                 [&io](const failure& /*why*/) { io.stop(); });
                             connection->send(sent);
                             is_sent = true;
                         });
    io.run_for(timeout);
    return is_sent;
}

} // namespace carawayshelf
