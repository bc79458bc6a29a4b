// Bytes made small for the way between daemons. A configuration of many routes is hundreds of kilobytes of text that repeats itself, and
// a daemon that tells a dozen others over a thin link would need seconds for it. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

std::string compressBytes(std::string_view bytes);

// Inverse. Nothing when it is no packed text, or would be longer than `mostBytes`: no memory is taken for more.
std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes);

} // namespace chicoryrouter
