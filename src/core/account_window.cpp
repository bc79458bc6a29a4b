// Combines this daemon's spending with what the others report.
#include "chicoryrouter/account_window.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr duration askedAverage = 250ms; // time constant of the average of what is asked for
constexpr double nearLimitFactor = 2.0;  // an account that asks for half of what its window can bear is near its limit

} // namespace

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
    const bool ranked = load.ranked;
    const time_point divided = share < 1.0 ? bootTime - (now - others.silentSince(now)) : time_point::min();
    const std::int64_t known = m_all.update(perSecond, burst, spent, bootTime);
    const std::int64_t remaining = known + (ranked ? spentByAll(divided, 1.0 - share, bootTime) : 0);
    const double seconds = std::chrono::duration<double>(m_length).count();
    const auto capacity = static_cast<std::int64_t>(perSecond * seconds + burst);
    const remote_demand remote = ranked ? others.remoteDemand(limits.name, now) : remote_demand{};
    const double unreportedTokens = ranked ? remote.spentSince : others.unreportedRemoteSpending(limits.name, now);
    const auto unreported = static_cast<std::int64_t>(unreportedTokens);
    const std::int64_t change = m_first ? remaining : remaining - m_remaining + own; // `own` was deducted when it was spent
    load.adjustBalance(change, static_cast<std::int64_t>(perSecond + burst / seconds), capacity, unreported);
    m_ownSeen = ownTotal;
    m_remaining = remaining;
    m_first = false;
    m_nearLimit = false;
    if (ranked) {
        const std::int64_t balance = load.tokensLeft - load.tokensReserved;
        account_room room;
        room.perSecond = m_all.rateToBear(balance, perSecond, burst, divided, share, bootTime);
        room.evenPerSecond = perSecond + burst / seconds;
        room.emptyFor = balance > 0 ? duration{} : m_all.untilFreed(1 - balance, bootTime);
        measureAsked(load, bootTime);
        if (m_firstPlan) {
            load.share.seed(hashBytes(others.self()) + hashBytes(limits.name));
            m_firstPlan = false;
        }
        plan(load, room, remote);
    }
}

// While daemons are silent, the limit that is left is divided, not the whole limit: what all spent before is charged to each side by its share.
std::int64_t account_window::spentByAll(time_point divided, double otherShare, time_point bootTime) const
{
    return static_cast<std::int64_t>(otherShare * static_cast<double>(m_all.sumUntil(divided, bootTime)));
}

void account_window::measureAsked(const account_load &load, time_point bootTime)
{
    const double elapsed = std::chrono::duration<double>(bootTime - m_askedAt).count();
    const bool measured = m_askedAt != time_point{} && elapsed > 0.0;
    const double weight = measured ? 1.0 - std::exp(-elapsed / std::chrono::duration<double>(askedAverage).count()) : 0.0;
    for (std::size_t rank = 0; rank < accountRanks; ++rank) {
        const std::uint64_t total = load.share.asked(rank);
        const double rate = measured ? static_cast<double>(total - m_askedSeen.at(rank)) / elapsed : 0.0;
        m_asked.at(rank) += weight * (rate - m_asked.at(rank));
        m_askedSeen.at(rank) = total;
    }
    m_askedAt = bootTime;
}

void account_window::plan(account_load &load, const account_room &known, const remote_demand &remote)
{
    account_room room = known;
    const double own = std::accumulate(m_asked.begin(), m_asked.end(), 0.0);
    double asked = 0.0;
    for (std::size_t rank = 0; rank < accountRanks; ++rank) {
        // What is spent without a word on ranks is taken to be divided like this daemon's own requests.
        const double part = own > 0.0 ? m_asked.at(rank) / own : 1.0 / static_cast<double>(accountRanks);
        room.asked.at(rank) = m_asked.at(rank) + remote.asked.at(rank) + remote.unranked * part;
        asked += room.asked.at(rank);
    }
    m_nearLimit = asked * nearLimitFactor > room.perSecond;
    load.share.apply(planAccount(room));
}

} // namespace chicoryrouter
