// The clock of all shells: counts from the wall clock's reading at process start and never steps back.
#pragma once

#include "chicoryrouter/time.h"

namespace chicoryrouter {

time_point bootTimeNow();                                             // any thread; counts time that the machine was suspended too: for leases
time_point systemNow();                                            // any thread
std::chrono::steady_clock::time_point steadyAt(time_point moment); // the same moment for timers; the past is now, noDeadline a day ahead

} // namespace chicoryrouter
