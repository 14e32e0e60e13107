#pragma once

#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_core/name_table.hpp"
#include "carawayshelf_io/lease_table.hpp"
#include "carawayshelf_wire/frame_codec.hpp"
#include "carawayshelf_wire/state_codec.hpp"

#include <cstdint>
#include <memory>

namespace carawayshelf
{

/** Kind of a client's request to a control instance. */
enum class request_kind : std::uint8_t
{
    propose,     ///< Apply a change to the cluster state.
    get_service, ///< Read one service entry.
    list_services,
    list_domains,
    status,
    wait_for,         ///< List the live daemons that don't hold a generation yet.
    bootstrap,        ///< Start a new cluster with this instance as its first voter.
    get_configuration ///< Read the traffic configuration.
};

inline constexpr name_table<request_kind, 8> request_kind_names{
    {"propose", "get_service", "list_services", "list_domains", "status", "wait_for", "bootstrap",
     "get_configuration"}};

/** Service name in the subscription of a daemon that needs all services. */
constexpr const char* every_service = "*";

/** Convert a daemon report to and from its FlatBuffers form. Thread-safe. */
std::unique_ptr<buffers::daemon_lease_object> pack_report(const daemon_report& value);
daemon_report unpack_report(const buffers::daemon_lease_object& packed);

/** Makes the reply to a request that failed. Thread-safe. */
std::unique_ptr<buffers::reply_object> make_error_reply(std::uint64_t number, error_kind error,
                                                        const std::string& detail);

} // namespace carawayshelf
