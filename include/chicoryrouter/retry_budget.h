// One budget for retries and hedges of a service, so that failing endpoints never see more than 1.1 times their normal load.
//
// Every first send earns 9 hundredths of a retry; every retry or hedge spends a whole one. It starts with a reserve of retries, so a quiet
// service can repair a single failure, and a whole retry is earned by waiting `slowEarning`, so that work that must finish is never stuck.
// Every daemon has a budget of its own, and their reserves add up: a large deployment sets a smaller one for each.
// Invariant: over any span with N first sends, retries <= 0.09 N + reserve + span / slowEarning; from N = 1,000 on that is below 0.1 N.
// Taking up a stream elsewhere after an announced reclaim is moved load, not added load, and is not charged.
#pragma once

#include "chicoryrouter/time.h"

#include <atomic>
#include <cstdint>

namespace chicoryrouter {

class retry_budget
{
public:
    static constexpr std::int64_t defaultReserve = 8; // retries at the start
    static constexpr duration timeEarnInterval = std::chrono::seconds(30);

    void onFirstSend();            // any thread; earns 9 hundredths of a retry
    bool trySpend(time_point now); // any thread; takes one retry, false when there is none
    [[nodiscard]] std::int64_t available() const { return m_balance.load(std::memory_order_relaxed) / retryCost; } // whole retries
    void setReserve(std::int64_t retries); // any thread; at least 1. What is held above it is given up

private:
    static constexpr std::int64_t earnedPerSend = 9; // hundredths of a retry
    static constexpr std::int64_t retryCost = 100;

    void earn(std::int64_t hundredths);

    std::atomic<std::int64_t> m_capacity{defaultReserve * retryCost}; // quiet spells save up no more than the reserve
    std::atomic<std::int64_t> m_balance{defaultReserve * retryCost};  // 0 <= m_hundredths <= m_mostHeld, but for a moment after setReserve()
    std::atomic<std::int64_t> m_timeEarnedAt{0};                      // microseconds: when waiting last earned a retry
};

} // namespace chicoryrouter
