#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Maximum ratio of decompressed to compressed size. It keeps a short datagram or frame from making
    a process allocate much memory. */
constexpr std::size_t max_compression_ratio = 256;

/** Compresses bytes with Zstandard. Returns nothing if the result would not be shorter, or if
    decompress() would reject its compression ratio. Thread-safe. */
std::optional<std::string> compress(std::string_view bytes);

/** Restores bytes compressed by compress(). Returns nothing if the input is malformed, or if it
    decompresses to more than max_bytes or exceeds max_compression_ratio. Thread-safe. */
std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

} // namespace carawayshelf
