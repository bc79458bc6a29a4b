// Time as the whole library sees it. The core never reads a clock: `now` is an argument of every call that needs it, so a decision
// replays exactly. Shells read one clock that never steps back (see src/shell/clock.h).
#pragma once

#include <chrono>

namespace chicoryrouter {

using duration = std::chrono::microseconds;                                      // a span; only in signatures and settings, never in kept state
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>; // a moment; what kept state holds (deadlines)

inline constexpr time_point noDeadline = time_point::max(); // "never": compares later than every real moment

} // namespace chicoryrouter
