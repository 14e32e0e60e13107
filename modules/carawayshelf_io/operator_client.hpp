#pragma once

#include "carawayshelf_io/control_protocol.hpp"
#include "carawayshelf_io/frame_connection.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawayshelf
{

/** Blocking client of the control instances, for operator commands. Tries the next instance when
    one can't be reached, has no leader or sends no answer, so that a request may arrive more than
    once and must be idempotent: a change carries an id for this. Not thread-safe. */
class operator_client
{
public:
    operator_client(std::vector<endpoint> instances, std::chrono::milliseconds timeout);

    /** Sends a request and waits for its reply.
        Errors: unreachable, no_leader, not_confirmed; other errors are in the reply itself. */
    failure call(const buffers::request_object& request, buffers::reply_object& reply);

    /** Fetches the restart state stored under a name and removes it from the control instances.
        Returns an empty string if no instance has it. */
    std::string claim_restart_state(const std::string& name);

private:
    using response_handler = std::function<bool(frame&)>;

    /** Sends a frame to one instance and passes the frames received from it to the handler until
        that returns true, the connection closes or the timeout expires. Returns whether the frame
        was sent; the handler may not have been called even then. */
    bool exchange_frames(const endpoint& instance, std::chrono::milliseconds timeout,
                         const frame& sent, const response_handler& handle_response) const;

    /** Sends a request to one instance. Returns whether `reply` was set: to the reply, or to
        not_confirmed if the request was sent but not answered in time. */
    bool call_instance(const endpoint& instance, const buffers::request_object& request,
                       buffers::reply_object& reply);

    std::vector<endpoint> instances_;
    std::chrono::milliseconds timeout_;
};

} // namespace carawayshelf
