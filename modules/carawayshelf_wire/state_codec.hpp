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

/** Writes a change as a payload of the log. Thread-safe. */
std::string encode_change(const change& value);

/** Reads a payload of the log; nothing when it is malformed. Thread-safe. */
std::optional<change> decode_change(std::string_view bytes);

/** Writes the replicated state as a snapshot. Thread-safe for a state that isn't changing. */
std::string encode_state(const cluster_state& value);

/** Reads a snapshot; nothing when it is malformed. Thread-safe. */
std::optional<cluster_state> decode_state(std::string_view bytes);

/** Conversions between typed values and the generated ones, for frames. All are thread-safe; those
    that read return nothing for values that are out of range. */
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
