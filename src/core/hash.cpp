// Implements the byte hashes with xxHash.
#include "chicoryrouter/hash.h"

#include <xxhash.h>

namespace chicoryrouter {

namespace {
constexpr std::string_view::size_type leadingBlockBytes = 256;
}

std::uint64_t hashBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string_view::size_type prefixBlockSize()
{
    return leadingBlockBytes;
}

std::uint64_t prefixKey(std::string_view prompt)
{
    if (prompt.size() < leadingBlockBytes) {
        return 0;
    }
    return hashBytes(prompt.substr(0, leadingBlockBytes)) | 1U;
}

} // namespace chicoryrouter
