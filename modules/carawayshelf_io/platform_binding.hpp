#pragma once

#include "carawayshelf_catalogue/traffic_configuration.hpp"
#include "carawayshelf_core/error.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_io/http_server.hpp"
#include "carawayshelf_packets/packet_agent.hpp"
#include "carawayshelf_packets/packet_format.hpp"

#include <functional>
#include <string>

namespace carawayshelf
{

/** Result of an operator's request. */
struct operator_result
{
    error_kind error = error_kind::none;
    std::string detail;
    std::string content; ///< For read(): the configuration as the operator sent it.
};

using operator_result_handler = std::function<void(const operator_result&)>;

/** The requests that operators may send over HTTP, to any control instance. Calls and handlers run
    on the control thread. */
class operator_api
{
public:
    virtual ~operator_api() = default;

    /** Replaces the configuration. Succeeds once a majority of the control instances has written it
        to disk.
        Errors: invalid_entry, version_conflict, no_leader, not_confirmed. */
    virtual void replace(const traffic_configuration& configuration,
                         operator_result_handler done) = 0;

    /** Reads the newest configuration.
        Errors: no_leader, not_confirmed, unknown_service if there is no configuration yet. */
    virtual void read(operator_result_handler done) = 0;

    /** Takes a failure domain out of service, or puts it back into service. Not carried out once
        the caller has given up, so that it can't undo an order that was accepted since.
        Errors: unknown_domain, no_leader, not_confirmed, outdated_order. */
    virtual void set_domain_out(const std::string& domain, bool out, caller_check is_caller_waiting,
                                operator_result_handler done) = 0;
};

/** Outcome of an announcement. */
enum class announcement_outcome
{
    recorded,     ///< The agent applies it, and will still apply it after a restart.
    not_recorded, ///< Control can't record it at present.
    foreign       ///< It is not of the agent's own backend server; ignored.
};

inline constexpr name_table<announcement_outcome, 3> announcement_outcome_names{
    {"recorded", "not_recorded", "foreign"}};

/** The requests that a backend server sends to its agent. Calls and handlers run on the control
    thread. */
class announcement_api
{
public:
    virtual ~announcement_api() = default;

    using outcome_handler = std::function<void(announcement_outcome)>;

    /** Takes an announcement of the backend server. */
    virtual void announce(const server_announcement& announcement, outcome_handler done) = 0;

    /** Deregisters the backend server, which is about to stop. */
    virtual void depart(const std::string& id, std::function<void()> done) = 0;
};

/** The packet format and the HTTP API of a platform. Implementations only translate names and
    formats; all decisions are made behind the interfaces above. Thread-safe: implementations hold
    no state. */
class platform_binding
{
public:
    virtual ~platform_binding() = default;

    virtual const packet_format& wire_format() const = 0;

    /** Handles an operator's HTTP request. */
    virtual void handle_operator_request(operator_api& api, const http_request& request,
                                         const http_responder& respond) const = 0;

    /** Handles a backend server's HTTP request. */
    virtual void handle_announcement(announcement_api& api, const http_request& request,
                                     const http_responder& respond) const = 0;

    /** Handles an HTTP request for the readiness of a daemon. */
    virtual void handle_readiness(bool is_ready, const http_request& request,
                                  const http_responder& respond) const = 0;
};

} // namespace carawayshelf
