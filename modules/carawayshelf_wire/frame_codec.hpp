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

/** A decoded frame, with exactly one field set. encode_frame() sends a long frame inside the
    `compressed` field of an outer frame; that field has no other use. */
using frame = buffers::frame_object;

/** Size of the length in front of each frame, an unsigned big-endian integer. */
constexpr std::size_t frame_prefix_bytes = 4;

/** Maximum size of an accepted frame; fits a snapshot of the largest state. */
constexpr std::size_t max_frame_bytes = std::size_t{256} * 1024 * 1024;

/** Minimum size of a frame that is compressed, such as a whole table, a configuration or a
    snapshot. Uncompressed, a table would take as long to reach a balancer over a slow link as an
    outage lasts. */
constexpr std::size_t min_compressed_frame_bytes = std::size_t{4} * 1024;

/** Encodes a frame, preceded by its length. Thread-safe. */
std::string encode_frame(const frame& value);

/** Decodes a frame without the preceding length. Thread-safe.
    Errors: malformed_frame. */
failure decode_frame(std::string_view bytes, frame& value);

/** Decodes the length in front of a frame. Precondition: frame_prefix_bytes are readable.
    Thread-safe. */
std::size_t decode_frame_length(const std::uint8_t* bytes);

/** Convert consensus messages to and from their FlatBuffers form. unpack_message() returns nothing
    if a kind is out of range or the record indexes are not consecutive. Thread-safe. */
std::unique_ptr<buffers::consensus_message_object> pack_message(const message& value);
std::optional<message> unpack_message(const buffers::consensus_message_object& packed);

/** Encode and decode single records and snapshots for files. Decoding returns nothing if the bytes
    are malformed. Thread-safe. */
std::string encode_record(const log_record& value);
std::optional<log_record> decode_record(std::string_view bytes);
std::string encode_snapshot(const snapshot& value);
std::optional<snapshot> decode_snapshot(std::string_view bytes);

} // namespace carawayshelf
