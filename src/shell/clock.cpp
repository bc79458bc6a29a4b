// The process clocks: wall time advanced by the steady clock, and time since boot.
#include "shell/clock.h"

#include <algorithm>
#include <ctime>

namespace chicoryrouter {

time_point systemNow()
{
    static const auto wallStart = std::chrono::floor<duration>(std::chrono::system_clock::now());
    static const auto steadyStart = std::chrono::steady_clock::now();
    return wallStart + std::chrono::floor<duration>(std::chrono::steady_clock::now() - steadyStart);
}

time_point bootTimeNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

std::chrono::steady_clock::time_point steadyAt(time_point moment)
{
    constexpr duration maxDelay = std::chrono::hours(24);
    const duration remaining = moment == noDeadline ? maxDelay : std::min<duration>(moment - systemNow(), maxDelay);
    return std::chrono::steady_clock::now() + std::max(remaining, duration(0));
}

} // namespace chicoryrouter
