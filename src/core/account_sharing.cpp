// Divides an account's room between its ranks, and spreads the callers that were refused over the time in which they can be admitted.
#include "chicoryrouter/account_sharing.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t smallCallTokens = 1000; // a plain call up to this cost is urgent
constexpr double keptPart = 0.36;              // of what a rank would get if all ranks were alike
constexpr double backlogSeconds = 1.0;         // the refused of this time are given times to come back that follow each other
constexpr duration shortestSpan = 300ms;
constexpr duration longestSpan = 4s;
constexpr double leastEvenPart = 0.1; // of the even rate: the slowest at which callers are told to come back

duration inDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// The times at which the refused of each rank come back, when `perSecond` tokens of them are admitted.
void planReturns(account_plan &plan, const account_room &room)
{
    const double perSecond = std::max({room.perSecond, room.evenPerSecond * leastEvenPart, 1.0});
    double refusedBefore = 0.0; // tokens of the more urgent ranks
    for (std::size_t rank = 0; rank < accountRanks; ++rank) {
        const double refused = (1.0 - plan.pass.at(rank)) * room.asked.at(rank) * backlogSeconds;
        const duration from = std::min(inDuration(refusedBefore / perSecond), longestSpan);
        plan.from.at(rank) = std::max(from, room.emptyFor);
        plan.span.at(rank) = std::clamp(inDuration(refused / perSecond), shortestSpan, longestSpan);
        refusedBefore += refused;
    }
}

} // namespace

std::size_t accountRank(priority rank, bool plainCall, std::int64_t tokens)
{
    const bool urgent = plainCall && tokens <= smallCallTokens;
    return urgent ? 0 : std::min(static_cast<std::size_t>(rank), accountRanks - 1);
}

account_plan planAccount(const account_room &room)
{
    account_plan plan;
    const double asked = std::accumulate(room.asked.begin(), room.asked.end(), 0.0);
    const double perSecond = std::max(room.perSecond, 0.0);
    plan.pressed = asked > perSecond;
    if (plan.pressed) {
        const double kept = keptPart * perSecond / asked;
        double left = perSecond - kept * asked;
        for (std::size_t rank = 0; rank < accountRanks; ++rank) {
            const double wanted = room.asked.at(rank) * (1.0 - kept);
            const double given = std::min(wanted, left);
            plan.pass.at(rank) = wanted > 0.0 ? kept + given / room.asked.at(rank) : 1.0;
            left -= given;
        }
    }
    planReturns(plan, room);
    return plan;
}

void account_share::seed(std::uint64_t value)
{
    for (std::size_t rank = 0; rank < accountRanks; ++rank) {
        m_phase.at(rank) = static_cast<std::uint32_t>(mixBits(value + rank) >> 32U);
    }
}

void account_share::apply(const account_plan &plan)
{
    for (std::size_t rank = 0; rank < accountRanks; ++rank) {
        const double part = std::clamp(plan.pass.at(rank), 0.0, 1.0);
        m_step.at(rank).store(static_cast<std::uint64_t>(part * static_cast<double>(all)), std::memory_order_relaxed);
        m_from.at(rank).store(plan.from.at(rank).count(), std::memory_order_relaxed);
        m_span.at(rank).store(plan.span.at(rank).count(), std::memory_order_relaxed);
    }
}

void account_share::countAsked(std::size_t rank, std::int64_t tokens)
{
    m_asked.at(rank).fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(tokens, 0)), std::memory_order_relaxed);
}

bool account_share::admits(std::size_t rank)
{
    const std::uint64_t step = m_step.at(rank).load(std::memory_order_relaxed);
    if (step >= all) {
        return true;
    }
    const std::uint64_t before = m_phase.at(rank).fetch_add(static_cast<std::uint32_t>(step), std::memory_order_relaxed);
    return before + step >= all;
}

duration account_share::comeBack(std::size_t rank, std::uint64_t dice, duration most) const
{
    const std::int64_t span = std::max<std::int64_t>(m_span.at(rank).load(std::memory_order_relaxed), duration(shortestSpan).count());
    const duration from(m_from.at(rank).load(std::memory_order_relaxed));
    const duration planned = from + duration(static_cast<std::int64_t>(dice % static_cast<std::uint64_t>(span)));
    if (planned <= most) {
        return planned;
    }
    const duration earliest = std::min(from, most / 2); // those who can't wait so long are spread over the time that they have
    const std::int64_t width = std::max<std::int64_t>((most - earliest).count(), 1);
    return earliest + duration(static_cast<std::int64_t>(dice % static_cast<std::uint64_t>(width)));
}

double account_share::pass(std::size_t rank) const
{
    return static_cast<double>(m_step.at(rank).load(std::memory_order_relaxed)) / static_cast<double>(all);
}

} // namespace chicoryrouter
