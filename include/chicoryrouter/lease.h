// A lease in the platform's key-value service. It ensures that at most one daemon at a time places endpoints of a service and gives orders to
// its engines.
//
// The record names the holder and a fencing number that grows with every change of holder. Clocks of different instances are never
// compared: another instance takes over only after it has itself seen the record unchanged for `term` plus `maxPause`, and a holder
// trusts its lease only until `term` after it *began* the last successful renewal. Every order carries the fencing number. Because some
// engines also obey outdated fencing numbers, a new holder gives no order until `maxPause` after it took over: the previous holder may have
// been paused between checking its lease and sending an order.
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
    std::string holder;         // empty: released
    std::uint64_t fencing = 0;  // grows with every change of holder
    std::uint64_t renewals = 0; // counts renewals, so that every renewal changes the record
};

std::string encodeLease(const lease_record &record);
std::optional<lease_record> decodeLease(std::string_view text);
std::string leaseKey(std::string_view service);

struct lease_options
{
    duration term = std::chrono::seconds(15);
    duration renewEvery = std::chrono::seconds(5);
    duration maxPause = std::chrono::seconds(5);         // a paused process is assumed to resume within this time, or else to notice that its term has ended
    duration minRemainingTerm = std::chrono::seconds(2); // no order is given when less than this is left of the term
};

// One daemon's view of one lease. It does no I/O: the caller carries out the returned step and reports the reply.
class lease
{
public:
    enum class step : std::uint8_t {
        Nothing,
        Read, // read the record -> onRead()
        Swap, // write pendingValue() if the version is still expectedVersion() -> onSwapped()
    };

    lease(std::string self, lease_options options);

    step onTick(time_point now);
    step onRead(const store_reply &reply, time_point now);
    void onSwapped(const store_reply &reply, time_point now);
    void release(); // for a planned stop: the next tick starts to clear the record's holder

    [[nodiscard]] const std::string &pendingValue() const { return m_pendingValue; }
    [[nodiscard]] std::uint64_t expectedVersion() const { return m_version; }
    [[nodiscard]] bool isHeld(time_point now) const;         // true: this daemon holds the lease
    [[nodiscard]] bool mayIssueOrders(time_point now) const; // held, enough of the term left, `maxPause` passed since takeover
    [[nodiscard]] std::uint64_t fencing() const { return m_fencing; }
    [[nodiscard]] const std::string &holder() const { return m_holder; } // as last read

private:
    step swapTo(const lease_record &record, time_point now);

    std::string m_self;
    lease_options m_options;
    std::string m_holder;
    std::string m_pendingValue;
    std::uint64_t m_version = 0; // of the record as last read or written
    std::uint64_t m_fencing = 0;
    time_point m_takeoverAllowedAt = noDeadline; // if the record is unchanged until then, its holder counts as gone
    time_point m_heldUntil{};                    // the lease is trusted until then
    time_point m_ordersAllowedFrom = noDeadline; // no orders before this time
    time_point m_nextTick{};
    time_point m_swapStartedAt{};
    bool m_takeoverPending = false; // true: the pending swap changes the holder
    bool m_releasing = false;
};

} // namespace chicoryrouter
