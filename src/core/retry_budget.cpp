// Lock-free counter of the retry budget.
#include "chicoryrouter/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace chicoryrouter {

void retry_budget::earn(std::int64_t hundredths)
{
    std::int64_t balance = m_balance.load(std::memory_order_relaxed);
    while (!m_balance.compare_exchange_weak(balance, std::min(balance + hundredths, m_capacity.load(std::memory_order_relaxed)), std::memory_order_relaxed)) {
    }
}

void retry_budget::onFirstSend()
{
    earn(earnedPerSend);
}

void retry_budget::setReserve(std::int64_t retries)
{
    assert(retries >= 1 && "the reserve must be at least 1, so that a single failure can be retried");
    m_capacity = retries * retryCost;
    earn(0);
}

bool retry_budget::trySpend(time_point now)
{
    const std::int64_t nowMicros = now.time_since_epoch().count();
    std::int64_t earnedAt = m_timeEarnedAt.load(std::memory_order_relaxed);
    const bool intervalPassed = earnedAt != 0 && nowMicros - earnedAt >= timeEarnInterval.count();
    if ((intervalPassed || earnedAt == 0) && m_timeEarnedAt.compare_exchange_strong(earnedAt, nowMicros) && intervalPassed) {
        earn(retryCost);
    }
    std::int64_t balance = m_balance.load(std::memory_order_relaxed);
    while (balance >= retryCost) {
        if (m_balance.compare_exchange_weak(balance, balance - retryCost, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

} // namespace chicoryrouter
