// Acquires, renews, releases and loses a lease.
#include "chicoryrouter/lease.h"

#include <nlohmann/json.hpp>

namespace chicoryrouter {

std::string encodeLease(const lease_record &record)
{
    return nlohmann::json({{"holder", record.holder}, {"fencing", record.fencing}, {"renewals", record.renewals}}).dump();
}

std::optional<lease_record> decodeLease(std::string_view text)
{
    try {
        const auto value = nlohmann::json::parse(text);
        return lease_record{value.at("holder"), value.at("fencing"), value.at("renewals")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string leaseKey(std::string_view service)
{
    return "lease-" + std::string(service);
}

lease::lease(std::string self, lease_options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

lease::step lease::onTick(time_point now)
{
    if (now < m_nextTick) {
        return step::Nothing;
    }
    m_nextTick = now + m_options.renewEvery;
    return step::Read;
}

lease::step lease::onRead(const store_reply &reply, time_point now)
{
    if (reply.outcome == store_outcome::Unavailable || reply.outcome == store_outcome::Conflict) {
        return step::Nothing;
    }
    const std::optional<lease_record> found = reply.outcome == store_outcome::Ok ? decodeLease(reply.value) : lease_record{};
    const lease_record present = found.value_or(lease_record{});
    const bool changed = reply.version != m_version || present.holder != m_holder;
    m_version = reply.version;
    m_holder = present.holder;
    if (present.holder == m_self && present.fencing == m_fencing) {
        if (m_releasing) {
            return swapTo({"", present.fencing, present.renewals + 1}, now);
        }
        return swapTo({m_self, present.fencing, present.renewals + 1}, now);
    }
    m_heldUntil = time_point{}; // held by another instance, or by this instance before a restart
    m_ordersAllowedFrom = noDeadline;
    if (changed) {
        m_takeoverAllowedAt = now + m_options.term + m_options.maxPause;
    }
    const bool free = present.holder.empty();
    if (m_releasing || (!free && now < m_takeoverAllowedAt)) {
        return step::Nothing;
    }
    m_takeoverPending = true;
    return swapTo({m_self, present.fencing + 1, 0}, now);
}

lease::step lease::swapTo(const lease_record &record, time_point now)
{
    m_pendingValue = encodeLease(record);
    m_fencing = record.fencing;
    m_swapStartedAt = now;
    return step::Swap;
}

void lease::onSwapped(const store_reply &reply, time_point now)
{
    const bool tookOver = m_takeoverPending;
    m_takeoverPending = false;
    if (reply.outcome != store_outcome::Ok) {
        // The reply was lost or the swap refused; the next read shows which. A lease that is held stays trusted until its term ends.
        m_nextTick = now;
        if (tookOver) {
            m_fencing = reply.outcome == store_outcome::Conflict ? 0 : m_fencing;
        }
        return;
    }
    m_version = reply.version;
    if (m_releasing) {
        m_holder.clear();
        m_heldUntil = time_point{};
        return;
    }
    m_holder = m_self;
    m_heldUntil = m_swapStartedAt + m_options.term;
    if (tookOver || m_ordersAllowedFrom == noDeadline) {
        m_ordersAllowedFrom = now + m_options.maxPause;
    }
}

void lease::release()
{
    m_releasing = true;
    m_nextTick = time_point{};
}

bool lease::isHeld(time_point now) const
{
    return now < m_heldUntil && !m_releasing;
}

bool lease::mayIssueOrders(time_point now) const
{
    return isHeld(now) && now + m_options.minRemainingTerm < m_heldUntil && now >= m_ordersAllowedFrom;
}

} // namespace chicoryrouter
