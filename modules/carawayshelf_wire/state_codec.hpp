#pragma once

#include "carawayshelf_catalogue/change.hpp"
#include "carawayshelf_catalogue/cluster_state.hpp"
#include "carawayshelf_catalogue/table_update.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carawayshelf
{

namespace buffers
{
struct change_object;
struct change_result_object;
struct domain_state_object;
struct member_object;
struct service_state_object;
struct table_update_object;
} // namespace buffers

/** Encodes a change as the payload of a log record. Thread-safe. */
std::string encode_change(const change& value);

/** Decodes the payload of a log record. Returns nothing if it is malformed. Thread-safe. */
std::optional<change> decode_change(std::string_view bytes);

/** Encodes the replicated state as a snapshot. Thread-safe while no other thread modifies the
    state. */
std::string encode_state(const cluster_state& value);

/** Decodes a snapshot. Returns nothing if it is malformed. Thread-safe. */
std::optional<cluster_state> decode_state(std::string_view bytes);

/** Convert typed values to and from their FlatBuffers form, for frames. Functions that return an
    optional return nothing if a required part is missing or a value is out of range. Thread-safe.
*/
std::unique_ptr<buffers::change_object> pack_change(const change& value);
std::optional<change> unpack_change(const buffers::change_object& packed);
std::unique_ptr<buffers::change_result_object> pack_result(const change_result& value);
change_result unpack_result(const buffers::change_result_object& packed);
std::unique_ptr<buffers::table_update_object> pack_update(const table_update& value);
std::optional<table_update> unpack_update(const buffers::table_update_object& packed);
std::unique_ptr<buffers::member_object> pack_member(const member& value);
member unpack_member(const buffers::member_object& packed);
std::unique_ptr<buffers::service_state_object> pack_service(const service_state& value,
                                                            bool with_rows);
service_state unpack_service(const buffers::service_state_object& packed);
std::unique_ptr<buffers::domain_state_object> pack_domain(const std::string& name,
                                                          const domain_state& value);

} // namespace carawayshelf
