// Requests that began to run, counted by client account in windows of wall-clock time, as they are reported to the platform.
// Window k begins k windows after the start of 1970. Pure, and not thread-safe.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace chicoryrouter {

using usage_counts = std::map<std::string, std::uint64_t>; // by account

class usage_ledger
{
public:
    explicit usage_ledger(duration window, std::size_t maxWindows = 8); // keeps so many windows, the newest

    void count(const std::string &account, time_point wallNow);
    void replace(std::uint64_t window, const usage_counts &counts); // as another daemon told its own; counts only grow

    [[nodiscard]] std::uint64_t windowAt(time_point wallNow) const;
    [[nodiscard]] time_point endOf(std::uint64_t window) const;
    [[nodiscard]] usage_counts countsOf(std::uint64_t window) const; // empty when nothing began in it
    [[nodiscard]] const std::map<std::uint64_t, usage_counts> &windows() const { return m_windows; }

private:
    void dropOld();

    duration m_window;
    std::size_t m_maxWindows;
    std::map<std::uint64_t, usage_counts> m_windows; // at most m_kept
};

} // namespace chicoryrouter
