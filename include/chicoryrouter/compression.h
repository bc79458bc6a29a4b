// Compresses data sent between daemons. A configuration with many routes is hundreds of kilobytes of repetitive text, and sending it to a
// dozen daemons over a slow link would take seconds.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

std::string compressBytes(std::string_view bytes);

// Inverse of compressBytes(). Returns nullopt when the input is not valid compressed data or its content is larger than `maxBytes`, and never
// allocates more than that.
std::optional<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes);

} // namespace chicoryrouter
