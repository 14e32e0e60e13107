#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace carawayshelf
{

/** Bytes are claimed to be at most so many times as long as their compressed form, so that a short
    datagram or frame can't make a process take much memory. */
constexpr std::size_t max_compression_ratio = 256;

/** Compresses bytes by Zstandard. Returns nothing where that doesn't make them shorter, and where
    decompress() would not take the result. Thread-safe. */
std::optional<std::string> compress(std::string_view bytes);

/** The bytes that compress() was given. Returns nothing for what compress() did not make, and for
    more than most bytes. Thread-safe. */
std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

} // namespace carawayshelf
