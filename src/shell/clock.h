// Clocks. systemNow() starts at the wall-clock time of process start and advances with the steady clock, so it never goes back.
#pragma once

#include "chicoryrouter/time.h"

namespace chicoryrouter {

time_point bootTimeNow();                                          // any thread; time since boot, including machine suspension; for leases
time_point systemNow();                                            // any thread
std::chrono::steady_clock::time_point steadyAt(time_point moment); // for timers; limited to now .. now + 24 h; noDeadline: now + 24 h

} // namespace chicoryrouter
