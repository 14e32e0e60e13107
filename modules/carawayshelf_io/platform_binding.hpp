#pragma once

#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_io/http_server.hpp"
#include "carawayshelf_packets/packet_agent.hpp"
#include "carawayshelf_packets/packet_format.hpp"

#include <functional>
#include <string>

namespace carawayshelf
{

/** Outcome of an operator's order or read. */
struct operator_result
{
    error_kind error = error_kind::none;
    std::string detail;
    std::string content; ///< Of a read: what the operator had sent.
};

using operator_result_handler = std::function<void(const operator_result&)>;

/** What operators may order over HTTP, at any control instance. Calls and handlers run on the
    control thread. */
class operator_api
{
public:
    virtual ~operator_api() = default;

    /** Accepted once a majority of the control instances has synced it.
        Errors: invalid_entry, version_conflict, no_leader, not_confirmed. */
    virtual void replace(const traffic_configuration& configuration,
                         operator_result_handler done) = 0;

    /** Reads the newest configuration. Errors: no_leader, not_confirmed, unknown_service when there
        is none yet. */
    virtual void read(operator_result_handler done) = 0;

    /** Takes a failure domain out of service or puts it back in.
        Errors: unknown_domain, no_leader, not_confirmed. */
    virtual void set_domain_out(const std::string& domain, bool out,
                                operator_result_handler done) = 0;
};

/** Where an agent's backend server announces itself. Calls and handlers run on the control thread.
 */
class announcement_api
{
public:
    virtual ~announcement_api() = default;

    /** The handler is called with true once the gate keeps to what was announced and goes on to do
        so after a restart of the agent, with false when that can't be had at present. */
    virtual void announce(const server_announcement& announcement,
                          std::function<void(bool)> done) = 0;

    /** The backend server is about to end. */
    virtual void depart(const std::string& id, std::function<void()> done) = 0;
};

/** What a platform speaks: its packets and its HTTP calls. Names and formats only; whatever is
    decided is decided behind the interfaces above. Thread-safe: implementations hold no state. */
class platform_binding
{
public:
    virtual ~platform_binding() = default;

    virtual const packet_format& wire_format() const = 0;

    /** Answers an operator's call. */
    virtual void handle_operator_request(operator_api& orders, const http_request& request,
                                         const http_responder& respond) const = 0;

    /** Answers a backend server's call. */
    virtual void handle_announcement(announcement_api& announcements, const http_request& request,
                                     const http_responder& respond) const = 0;

    /** Answers the question whether a daemon is ready. */
    virtual void handle_readiness(bool is_ready, const http_request& request,
                                  const http_responder& respond) const = 0;
};

} // namespace carawayshelf
