// Compression with zstd.
#include "chicoryrouter/compression.h"

#include <zstd.h>

namespace chicoryrouter {

namespace {

constexpr int compressionLevel = 1; // the machines have little CPU time, and repetitive text compresses well at the fastest level

} // namespace

std::string compressBytes(std::string_view bytes)
{
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), compressionLevel);
    compressed.resize(ZSTD_isError(size) != 0U ? 0 : size); // empty on an error: the receiver can't decompress it and asks another daemon
    return compressed;
}

std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes) {
        return std::nullopt;
    }
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t decompressedSize = ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
    return ZSTD_isError(decompressedSize) != 0U || decompressedSize != size ? std::nullopt : std::optional(std::move(bytes));
}

} // namespace chicoryrouter
