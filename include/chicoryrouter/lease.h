// A lease in the platform's key-value service: at most one entry instance places endpoints of a service and gives orders to its engines.
//
// The record names the holder and a fencing number that grows with every change of holder. Clocks of different instances are never
// compared: a rival takes over only after it has itself seen the record unchanged for the whole term and the pause margin, and a holder
// trusts its lease only until `term` after it *began* the renewal that succeeded. Every order carries the fencing number. Since some
// engines obey old numbers too, a new holder gives no order before it has waited out the longest pause of the old one.
#pragma once

#include "chicoryrouter/claim.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

struct lease_record
{
    std::string holder;         // empty: given up
    std::uint64_t fencing = 0;  // of this holder's term
    std::uint64_t renewals = 0; // so that every renewal changes the record
};

std::string encodeLease(const lease_record &record);
std::optional<lease_record> decodeLease(std::string_view text);
std::string leaseKey(std::string_view service);

struct lease_options
{
    duration term = std::chrono::seconds(15);
    duration renewEvery = std::chrono::seconds(5);
    duration maxPause = std::chrono::seconds(5);         // a process is assumed never to be stopped for longer without losing its term
    duration minRemainingTerm = std::chrono::seconds(2); // no order is given with less of the term left
};

// One daemon's view of one lease. Carry out what onTick() asks for and report the reply.
class lease
{
public:
    enum class step : std::uint8_t {
        Nothing,
        Read, // -> onRead()
        Swap, // compare-and-swap wanted() in, expecting expectedVersion() -> onSwapped()
    };

    lease(std::string self, lease_options options);

    step onTick(time_point now);
    step onRead(const store_reply &reply, time_point now);
    void onSwapped(const store_reply &reply, time_point now);
    void release(); // a planned stop: the next tick frees the record

    [[nodiscard]] const std::string &pendingValue() const { return m_pendingValue; }
    [[nodiscard]] std::uint64_t expectedVersion() const { return m_version; }
    [[nodiscard]] bool isHeld(time_point now) const;         // this daemon holds it
    [[nodiscard]] bool mayIssueOrders(time_point now) const; // held, enough of the term left, the old holder's pause waited out
    [[nodiscard]] std::uint64_t fencing() const { return m_fencing; }
    [[nodiscard]] const std::string &holder() const { return m_holder; } // as last read

private:
    step swapTo(const lease_record &record, time_point now);

    std::string m_self;
    lease_options m_options;
    std::string m_holder;
    std::string m_pendingValue;
    std::uint64_t m_version = 0; // of the record as last seen
    std::uint64_t m_fencing = 0;
    time_point m_takeoverAllowedAt = noDeadline; // the record was seen unchanged until then: its holder is gone
    time_point m_heldUntil{};                    // trusted until then
    time_point m_ordersAllowedFrom = noDeadline; // no order before
    time_point m_nextTick{};
    time_point m_swapStartedAt{};
    bool m_takeoverPending = false; // the pending swap changes the holder
    bool m_releasing = false;
};

} // namespace chicoryrouter
