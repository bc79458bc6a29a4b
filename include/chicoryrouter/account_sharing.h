// Decides which requests of a client account are admitted while the account asks for more than its limit leaves, and when the others may come
// back.
//
// Answers this load: one account asks for three to six times its limit for some seconds, at all daemons at once, with requests of every rank.
// Each daemon plans many times a second what part of the requests of each rank it admits, so that the account gets the rate that its window can
// bear from now on, the urgent ranks first. All daemons plan from the same figures (the balance and what the others tell), so they agree
// without a vote. The size of a request has no part in the decision.
//
// Index
//   rank_rates . accountRank . account_room . account_plan . planAccount . account_share
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace chicoryrouter {

inline constexpr std::size_t accountRanks = static_cast<std::size_t>(priority::Count);
using rank_rates = std::array<double, accountRanks>; // tokens per second by rank, most urgent first

// The rank that counts for the account's limit: a plain call that costs little is urgent, whatever its route.
std::size_t accountRank(priority rank, bool plainCall, std::int64_t tokens);

// What is known of an account when a plan is made.
struct account_room
{
    double perSecond = 0.0;     // tokens that may be admitted each second, over all daemons
    double evenPerSecond = 0.0; // the limit of the window divided by its length; bounds the times to come back
    duration emptyFor{};        // until the balance is above the reserve; zero: it is
    rank_rates asked{};         // over all daemons, refused requests included
};

struct account_plan
{
    bool pressed = false;        // more is asked than may be admitted
    rank_rates pass{1., 1., 1.}; // part of the requests of a rank that is admitted, above 0 to 1
    // Refused requests of a rank come back after `from`, evenly over `span`. The times of the ranks follow each other, the most urgent first.
    std::array<duration, accountRanks> from{};
    std::array<duration, accountRanks> span{};
};

// Each rank keeps a part of what it would get if all ranks were alike; what remains goes to the ranks in their order. Pure.
account_plan planAccount(const account_room &room);

// The plan as request threads use it, and what they asked for. Thread-safe: the control strand applies plans, request threads the rest.
class account_share
{
public:
    void seed(std::uint64_t value); // different at each daemon, so that the daemons don't admit and refuse in step
    void apply(const account_plan &plan);
    void countAsked(std::size_t rank, std::int64_t tokens);
    bool admits(std::size_t rank); // of every 1 / pass calls of a rank one returns true, evenly spread
    void countRefused(std::size_t rank) { m_refused.at(rank).fetch_add(1, std::memory_order_relaxed); }

    // When a refused caller may come back. `dice`: random bits. `most`: the longest time that the caller waits.
    [[nodiscard]] duration comeBack(std::size_t rank, std::uint64_t dice, duration most) const;
    [[nodiscard]] std::uint64_t asked(std::size_t rank) const { return m_asked.at(rank).load(std::memory_order_relaxed); }     // tokens since the start
    [[nodiscard]] std::uint64_t refused(std::size_t rank) const { return m_refused.at(rank).load(std::memory_order_relaxed); } // requests since the start
    [[nodiscard]] double pass(std::size_t rank) const;

private:
    static constexpr std::uint64_t all = std::uint64_t{1} << 32U;

    std::array<std::atomic<std::uint64_t>, accountRanks> m_step{all, all, all}; // pass, in parts of `all`
    std::array<std::atomic<std::uint32_t>, accountRanks> m_phase{};             // grows by the step; a request is admitted when it overflows
    std::array<std::atomic<std::int64_t>, accountRanks> m_from{};               // microseconds
    std::array<std::atomic<std::int64_t>, accountRanks> m_span{};               // microseconds
    std::array<std::atomic<std::uint64_t>, accountRanks> m_asked{};
    std::array<std::atomic<std::uint64_t>, accountRanks> m_refused{};
};

} // namespace chicoryrouter
