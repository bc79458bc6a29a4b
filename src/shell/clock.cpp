// A wall clock that advances with the steady clock.
#include "shell/clock.h"

namespace chicoryrouter {

time_point systemNow()
{
    static const auto wallStart = std::chrono::floor<duration>(std::chrono::system_clock::now());
    static const auto steadyStart = std::chrono::steady_clock::now();
    return wallStart + std::chrono::floor<duration>(std::chrono::steady_clock::now() - steadyStart);
}

} // namespace chicoryrouter
