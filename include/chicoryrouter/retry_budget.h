// Token bucket for the retries and hedges of one service. It keeps the load on failing endpoints below 1.1 times their normal load.
//
// Every first send earns 0.09 retries, and every retry or hedge costs one. The bucket starts full, with a reserve of retries, so that a
// service with little traffic can retry after a single failure. One retry is also earned per `timeEarnInterval`, so that must-finish
// requests are never stuck.
// Every daemon has its own budget and the reserves add up, so a large deployment should set a smaller reserve per daemon.
// Invariant: over any time span with N first sends, retries <= 0.09 N + reserve + span / timeEarnInterval; from N = 1,000 on that is
// below 0.1 N.
// Moving a stream to another endpoint after an announced reclaim is not charged: it moves load and adds none.
#pragma once

#include "chicoryrouter/time.h"

#include <atomic>
#include <cstdint>

namespace chicoryrouter {

class retry_budget
{
public:
    static constexpr std::int64_t defaultReserve = 8;                      // retries in the bucket at the start
    static constexpr duration timeEarnInterval = std::chrono::seconds(30); // time that earns one retry

    void onFirstSend();            // any thread; earns 0.09 retries
    bool trySpend(time_point now); // any thread; spends one retry, false if none is available
    [[nodiscard]] std::int64_t available() const { return m_balance.load(std::memory_order_relaxed) / retryCost; } // whole retries, rounded down
    void setReserve(std::int64_t retries); // any thread; at least 1. Retries above the new reserve are dropped

private:
    static constexpr std::int64_t earnedPerSend = 9; // hundredths of a retry
    static constexpr std::int64_t retryCost = 100;   // hundredths of a retry

    void earn(std::int64_t hundredths);

    std::atomic<std::int64_t> m_capacity{defaultReserve * retryCost}; // hundredths of a retry; the reserve, which is also the most that can be saved up
    std::atomic<std::int64_t> m_balance{defaultReserve * retryCost};  // hundredths of a retry; 0 <= m_balance <= m_capacity, except briefly during setReserve()
    std::atomic<std::int64_t> m_timeEarnedAt{0}; // time in microseconds at which the passage of time last earned a retry; 0 before the first trySpend()
};

} // namespace chicoryrouter
