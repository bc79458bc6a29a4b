// Parses and formats durations and UTC timestamps as they stand in settings, documents and scenarios.
#pragma once

#include "chicoryrouter/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

std::optional<duration> parseDuration(std::string_view text);    // "250ms", "10s", "2.5s", "2min", "1h", "50us"; nullopt when the unit is missing or unknown
std::optional<time_point> parseTimestamp(std::string_view text); // "2026-05-01T08:30:00Z", always UTC; nullopt when malformed
std::string toText(duration span);                               // in the largest unit that represents it exactly, e.g. "250ms"
std::int64_t inMilliseconds(duration span);                      // rounded towards zero
std::string formatTimestampMs(time_point moment);                // as formatTimestamp(), with milliseconds: "2026-05-01T08:30:00.250Z"
std::string formatTimestamp(time_point moment);                  // inverse of parseTimestamp(); rounded down to whole seconds

} // namespace chicoryrouter
