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

/** Asks control instances on behalf of an operator, and waits for the answer. Goes to the next
    instance when one can't be reached, has no leader or loses the answer, so requests must be
    idempotent: a change carries its id. Not thread-safe. */
class operator_client
{
public:
    operator_client(std::vector<endpoint> instances, std::chrono::milliseconds timeout);

    /** Sends a request and waits for its reply.
        Errors: unreachable, no_leader, not_confirmed; others are in the reply itself. */
    failure call(const buffers::request_object& request, buffers::reply_object& reply);

    /** Takes the state that was parked under a name, from whichever instance has it; empty when
       none has. */
    std::string claim_restart_state(const std::string& name);

private:
    using response_handler = std::function<bool(frame&)>;

    /** Sends one frame to one instance and waits until the taker has got its answer. Returns
       whether it was sent; a lost answer leaves the taker untouched. */
    bool exchange_frames(const endpoint& instance, std::chrono::milliseconds timeout,
                         const frame& sent, const response_handler& handle_response) const;

    bool call_instance(const endpoint& instance, const buffers::request_object& request,
                       buffers::reply_object& reply);

    std::vector<endpoint> instances_;
    std::chrono::milliseconds timeout_;
};

} // namespace carawayshelf
