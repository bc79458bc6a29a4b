// The clock of all shells: counts from the wall clock's reading at process start and never steps back.
#pragma once

#include "chicoryrouter/time.h"

namespace chicoryrouter {

time_point systemNow(); // any thread

} // namespace chicoryrouter
