// A wall clock that advances with the steady clock.
#include "shell/clock.h"

#include <algorithm>

namespace chicoryrouter {

time_point systemNow()
{
    static const auto wallStart = std::chrono::floor<duration>(std::chrono::system_clock::now());
    static const auto steadyStart = std::chrono::steady_clock::now();
    return wallStart + std::chrono::floor<duration>(std::chrono::steady_clock::now() - steadyStart);
}

std::chrono::steady_clock::time_point steadyAt(time_point moment)
{
    constexpr duration longest = std::chrono::hours(24);
    const duration left = moment == noDeadline ? longest : std::min<duration>(moment - systemNow(), longest);
    return std::chrono::steady_clock::now() + std::max(left, duration(0));
}

} // namespace chicoryrouter
