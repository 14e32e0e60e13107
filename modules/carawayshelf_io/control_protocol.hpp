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

/** What a client asks of a control instance. */
enum class request_kind : std::uint8_t
{
    propose,     ///< Apply a change.
    get_service, ///< Read one entry.
    list_services,
    list_domains,
    status,
    wait_for,         ///< Tell which live daemons don't hold a generation.
    bootstrap,        ///< Make this instance the first of a new cluster.
    get_configuration ///< Read the traffic configuration.
};

inline constexpr name_table<request_kind, 8> request_kind_names{
    {"propose", "get_service", "list_services", "list_domains", "status", "wait_for", "bootstrap",
     "get_configuration"}};

/** Service name of a subscriber that wants all services. */
constexpr const char* every_service = "*";

/** Conversions between daemon reports and their frames. Thread-safe. */
std::unique_ptr<buffers::daemon_lease_object> pack_report(const daemon_report& value);
daemon_report unpack_report(const buffers::daemon_lease_object& packed);

/** Makes a reply that says why a request failed. Thread-safe. */
std::unique_ptr<buffers::reply_object> make_error_reply(std::uint64_t number, error_kind error,
                                                        const std::string& detail);

} // namespace carawayshelf
