#pragma once

#include "carawayshelf_core/endpoint.hpp"
#include "carawayshelf_wire/coap_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Result of a registration request from a backend server. */
enum class registration_event
{
    none,      ///< No registration has changed.
    started,   ///< The server has started or restarted.
    refreshed, ///< The server renewed its registration.
    leaving    ///< The server deregistered and will stop; it takes no new flows.
};

/** Registration of a backend server at its agent over CoAP, modelled on a resource directory
    (RFC 9176). The server sends

    - `POST /rd?ep=NAME&d=SERVICE&base=coap://ADDRESS:PORT` at each start,
    - `POST /rd/1` to refresh,
    - `DELETE /rd/1` to deregister.

    Not thread-safe; does no I/O.
*/
class server_registration
{
public:
    /** Handles one datagram.
        @param response_bytes  set to the CoAP response; unchanged if the datagram is not a CoAP
                               request */
    registration_event handle(std::string_view datagram, std::string& response_bytes);

    /** Restores the registration that the previous incarnation of the agent held. */
    void restore(const std::string& service, const endpoint& server);

    /** Service of the most recently registered server; empty if none has registered. */
    const std::string& service() const
    {
        return service_;
    }

    /** Address at which the most recently registered server listens. */
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
