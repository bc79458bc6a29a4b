// Combines this daemon's spending with what the others report.
#include "chicoryrouter/account_window.h"

#include <algorithm>

namespace chicoryrouter {

account_window::account_window(duration length, time_point start)
    : m_length(length)
    , m_all(length, start)
    , m_own(length, start)
{
}

void account_window::refill(account_load &load, const client_account &limits, spending_tracker &others, time_point now, time_point bootTime)
{
    const std::uint64_t ownTotal = load.tokensSpent;
    const auto ownSince = static_cast<std::int64_t>(ownTotal - m_ownSeen);
    const auto othersSince = static_cast<std::int64_t>(others.drainRemoteSpending(limits.name, 0.0, now));
    const std::int64_t own = m_first ? 0 : ownSince; // spent before the limit began to apply
    const std::int64_t spent = m_first ? 0 : own + othersSince;
    m_all.addEarlier(others.drainEarlierSpending(limits.name), bootTime);
    m_ownRecent = static_cast<std::uint64_t>(std::max<std::int64_t>(-m_own.update(0.0, 0.0, own, bootTime), 0));

    const double share = others.reachableShare(now);
    const double perSecond = limits.tokensPerSecond * share;
    const double burst = limits.tokenBurst * share;
    const std::int64_t remaining = m_all.update(perSecond, burst, spent, bootTime);
    const double seconds = std::chrono::duration<double>(m_length).count();
    const auto capacity = static_cast<std::int64_t>(perSecond * seconds + burst);
    const auto unreported = static_cast<std::int64_t>(others.unreportedRemoteSpending(limits.name, now));
    const std::int64_t change = m_first ? remaining : remaining - m_remaining + own; // `own` was deducted when it was spent
    load.adjustBalance(change, static_cast<std::int64_t>(perSecond + burst / seconds), capacity, unreported);
    m_ownSeen = ownTotal;
    m_remaining = remaining;
    m_first = false;
}

} // namespace chicoryrouter
