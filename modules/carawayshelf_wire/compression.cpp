#include "carawayshelf_wire/compression.hpp"

#include <zstd.h>

#include <algorithm>

namespace carawayshelf
{

namespace
{

/** Zstandard's fastest regular level, since receivers wait while the sender compresses. */
constexpr int compression_level = 1;

} // namespace

std::optional<std::string> compress(std::string_view bytes)
{
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(),
                                           bytes.size(), compression_level);
    if (ZSTD_isError(size) != 0 || size >= bytes.size() ||
        bytes.size() / size >= max_compression_ratio)
    {
        return std::nullopt;
    }
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > std::min(max_bytes, compressed.size() * max_compression_ratio))
    {
        return std::nullopt;
    }
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t decompressed_bytes =
        ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(decompressed_bytes) != 0 || decompressed_bytes != bytes.size())
    {
        return std::nullopt;
    }
    return bytes;
}

} // namespace carawayshelf
