#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_wire/coap_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** What a backend server told its agent. */
enum class registration_event
{
    none,      ///< Nothing changed.
    started,   ///< It (re)started and serves.
    refreshed, ///< It is still there.
    leaving    ///< It takes no new work and will go.
};

/** Where a backend server announces itself, as at a resource directory (RFC 9176):

    - `POST /rd?ep=NAME&d=SERVICE&base=coap://ADDRESS:PORT` at each start,
    - `POST /rd/1` to refresh,
    - `DELETE /rd/1` to leave.

    Not thread-safe; does no input or output.
*/
class server_registration
{
public:
    /** Handles one datagram; the answer is empty when there is none to give. */
    registration_event handle(std::string_view datagram, std::string& response_bytes);

    /** Takes over a registration that an earlier incarnation of the agent held. */
    void restore(const std::string& service, const endpoint& server);

    /** Service that the registered server belongs to; empty without one. */
    const std::string& service() const
    {
        return service_;
    }

    /** Where the registered server listens. */
    const endpoint& server() const
    {
        return server_;
    }

private:
    registration_event handle_registration(const coap_message& request, coap_message& response);

    std::string service_;
    endpoint server_;
    std::uint16_t last_registration_message_id_ = 0;
    bool is_registered_ = false;
};

} // namespace carawayshelf
