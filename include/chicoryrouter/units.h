// Reading and writing times with units, as settings, documents and scenarios state them.
#pragma once

#include "chicoryrouter/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

std::optional<duration> parseDuration(std::string_view text);    // "250ms", "10s", "2min", "1h", "50us"; nothing when the unit is missing or unknown
std::optional<time_point> parseTimestamp(std::string_view text); // "2026-05-01T08:30:00Z", always UTC
std::string toText(duration span);                               // shortest exact form, e.g. "250ms"
std::int64_t inMilliseconds(duration span);                      // whole ones, for people; towards zero
std::string formatTimestampMs(time_point moment);                // the same with milliseconds
std::string formatTimestamp(time_point moment);                  // inverse of parseMoment, cut to whole seconds

} // namespace chicoryrouter
