// One budget for retries and hedges of a service, so that a failing back end never sees more than 1.1 times its normal load.
//
// Every first send earns 9 hundredths of a retry; every retry or hedge spends a whole one. It starts with `reserve` retries, so a quiet
// service can repair a single failure, and a whole retry is earned by waiting `slowEarning`, so that work that must finish is never stuck.
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
    static constexpr std::int64_t reserve = 8; // retries at the start
    static constexpr duration slowEarning = std::chrono::seconds(30);

    void onFirstSend();            // any thread; earns 9 hundredths of a retry
    bool trySpend(time_point now); // any thread; takes one retry, false when there is none

private:
    static constexpr std::int64_t earnedPerSend = 9; // hundredths of a retry
    static constexpr std::int64_t costOfRetry = 100;
    static constexpr std::int64_t mostHeld = reserve * costOfRetry; // quiet spells save up no more than the reserve

    void earn(std::int64_t hundredths);

    std::atomic<std::int64_t> m_hundredths{mostHeld}; // 0 <= m_hundredths <= mostHeld
    std::atomic<std::int64_t> m_earnedAt{0};          // microseconds: when waiting last earned a retry
};

} // namespace chicoryrouter
