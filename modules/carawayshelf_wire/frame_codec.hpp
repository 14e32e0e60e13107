#pragma once

#include "carawayshelf_consensus/message.hpp"
#include "carawayshelf_core/error.hpp"

#include <control_generated.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** A frame as the generated code holds it; exactly one of its fields is set. On the network a long
    frame stands compressed in the field of that name of another one; nobody else uses that field.
 */
using frame = buffers::frame_object;

/** Bytes of the length in front of each frame, big-endian. */
constexpr std::size_t frame_prefix_bytes = 4;

/** Longest frame that is accepted; a snapshot of the largest state fits. */
constexpr std::size_t max_frame_bytes = std::size_t{256} * 1024 * 1024;

/** Frames of this length and more go out compressed: whole tables, configurations, snapshots. At a
    balancer's thin link a table would take as long as an outage otherwise. */
constexpr std::size_t min_compressed_frame_bytes = std::size_t{4} * 1024;

/** Writes a frame with its length in front. Thread-safe. */
std::string encode_frame(const frame& value);

/** Reads a frame without its length. Thread-safe.
    Errors: malformed_frame. */
failure decode_frame(std::string_view bytes, frame& value);

/** Reads the length in front of a frame. Precondition: frame_prefix_bytes bytes. */
std::size_t decode_frame_length(const std::uint8_t* bytes);

/** Conversions of consensus values. Thread-safe. Unpacking returns nothing when out of range. */
std::unique_ptr<buffers::consensus_message_object> pack_message(const message& value);
std::optional<message> unpack_message(const buffers::consensus_message_object& packed);

/** Writes and reads single records and snapshots, for files. Thread-safe. */
std::string encode_record(const log_record& value);
std::optional<log_record> decode_record(std::string_view bytes);
std::string encode_snapshot(const snapshot& value);
std::optional<snapshot> decode_snapshot(std::string_view bytes);

} // namespace carawayshelf
