// Time types of the library. The core never reads a clock: `now` is an argument of every call that needs it, so that tests can replay a
// decision exactly. The code in src/shell reads a clock that never goes backwards (see src/shell/clock.h).
#pragma once

#include <chrono>

namespace chicoryrouter {

using duration = std::chrono::microseconds;                                      // a time span; for signatures and settings, not for deadlines
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>; // a point in time; deadlines are stored as these

inline constexpr time_point noDeadline = time_point::max(); // no deadline: compares later than every real time point

} // namespace chicoryrouter
