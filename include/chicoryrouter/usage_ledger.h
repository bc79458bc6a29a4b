// Counts requests that began to run, per client account and window of wall-clock time, for the usage reports to the platform.
// Window k begins k window lengths after the Unix epoch. Takes the time as a parameter; not thread-safe.
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
    explicit usage_ledger(duration window, std::size_t maxWindows = 8); // keeps the newest `maxWindows` windows

    void count(const std::string &account, time_point wallNow);
    void replace(std::uint64_t window, const usage_counts &counts); // replaces a window by another daemon's newer counts, which only grow

    [[nodiscard]] std::uint64_t windowAt(time_point wallNow) const;
    [[nodiscard]] time_point endOf(std::uint64_t window) const;
    [[nodiscard]] usage_counts countsOf(std::uint64_t window) const; // empty when no request began in it
    [[nodiscard]] const std::map<std::uint64_t, usage_counts> &windows() const { return m_windows; }

private:
    void dropOld();

    duration m_window;
    std::size_t m_maxWindows;
    std::map<std::uint64_t, usage_counts> m_windows; // at most m_maxWindows
};

} // namespace chicoryrouter
