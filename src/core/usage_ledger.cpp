// Counts requests per window and drops old windows.
#include "chicoryrouter/usage_ledger.h"

#include <cassert>

namespace chicoryrouter {

usage_ledger::usage_ledger(duration window, std::size_t maxWindows)
    : m_window(window)
    , m_maxWindows(maxWindows)
{
    assert(window > duration{} && "the window length must be positive");
    assert(maxWindows > 0 && "at least the current window must be kept");
}

void usage_ledger::count(const std::string &account, time_point wallNow)
{
    ++m_windows[windowAt(wallNow)][account];
    dropOld();
}

void usage_ledger::replace(std::uint64_t window, const usage_counts &counts)
{
    m_windows[window] = counts;
    dropOld();
}

std::uint64_t usage_ledger::windowAt(time_point wallNow) const
{
    return static_cast<std::uint64_t>(wallNow.time_since_epoch() / m_window);
}

time_point usage_ledger::endOf(std::uint64_t window) const
{
    return time_point(m_window * static_cast<std::int64_t>(window + 1));
}

usage_counts usage_ledger::countsOf(std::uint64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? usage_counts{} : found->second;
}

void usage_ledger::dropOld()
{
    while (m_windows.size() > m_maxWindows) {
        m_windows.erase(m_windows.begin());
    }
}

} // namespace chicoryrouter
