// Positions, eras and what is remembered across a return of the key-value service.
#include "chicoryrouter/store_history.h"

#include "chicoryrouter/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace chicoryrouter {

using nlohmann::json;

namespace {

constexpr unsigned revisionBits = 32;
constexpr std::uint64_t maxReturns = (std::uint64_t{1} << 21U) - 1; // 21 + 32 bits are the largest integer that every JSON reader keeps
constexpr std::uint64_t latestUnixMillis = 10'000'000'000'000;      // Unix time in the year 2286; larger values are clamped
constexpr duration removalMemory = std::chrono::minutes(2);         // a copy is some seconds old
constexpr duration expiryTime = std::chrono::seconds(8);            // an entry without heartbeats has expired by then

std::optional<std::uint64_t> numberIn(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    return fault == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::uint64_t countAt(const json &object, const char *field)
{
    const json &value = object.at(field);
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument(field);
    }
    return value.get<std::uint64_t>();
}

} // namespace

// ---- Positions -------------------------------------------------------------------------------------------------------------------------

std::uint64_t risingNumber(store_position position, std::uint64_t firstEra)
{
    const std::uint64_t returns = position.era > firstEra ? position.era - firstEra : 0;
    return (std::min(returns, maxReturns) << revisionBits) + position.revision;
}

// ---- Eras ------------------------------------------------------------------------------------------------------------------------------

bool store_eras::accepts(std::string_view stated, time_point calledAt, time_point now)
{
    if (stated.empty() && !areStated()) {
        m_usedWithout = true;
        return true; // a service that counts no returns
    }
    const std::optional<std::uint64_t> era = numberIn(stated);
    if (!era) {
        return false;
    }
    const bool first = !areStated();
    if (!first && *era == m_current) {
        return true;
    }
    const bool isReturn = !first || m_usedWithout;
    const bool outdated = !first && *era < m_current && calledAt <= m_since;
    if (outdated) {
        return false;
    }
    const std::uint64_t before = m_current;
    m_current = *era;
    m_since = now;
    if (isReturn && onReturn) {
        onReturn(before);
    }
    return true;
}

// ---- The record of a return ------------------------------------------------------------------------------------------------------------

std::string encodeReturn(const return_record &record)
{
    json orders = json::object();
    for (const auto &[service, known] : record.orders) {
        orders[service] = {{"order", known.order}, {"content", known.content}};
    }
    const auto seen = std::chrono::floor<std::chrono::milliseconds>(record.seenAt.time_since_epoch()).count();
    return json({{"first_era", record.firstEra}, {"era", record.era}, {"seen_ms", seen}, {"configuration", record.configurationVersion},
                    {"orders", std::move(orders)}, {"orders_until", record.ordersUntil}})
        .dump();
}

std::optional<return_record> decodeReturn(std::string_view text)
{
    try {
        const json value = json::parse(text);
        return_record record;
        record.firstEra = countAt(value, "first_era");
        record.era = countAt(value, "era");
        record.seenAt = time_point(std::chrono::milliseconds(std::min(countAt(value, "seen_ms"), latestUnixMillis)));
        record.configurationVersion = countAt(value, "configuration");
        for (const auto &[service, known] : value.at("orders").items()) {
            record.orders[service] = {countAt(known, "order"), countAt(known, "content")};
        }
        record.ordersUntil = countAt(value, "orders_until");
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::uint64_t orderOf(const std::optional<return_record> &record, const std::string &service, std::string_view text, std::uint64_t revision)
{
    if (!record) {
        return revision;
    }
    const auto known = record->orders.find(service);
    const bool givenInTime = record->ordersUntil == 0 || revision <= record->ordersUntil;
    const bool isUnchanged = known != record->orders.end() && known->second.content == hashBytes(text);
    return givenInTime && isUnchanged ? known->second.order : risingNumber({record->era, revision}, record->firstEra);
}

// ---- Endpoints that left before a return -----------------------------------------------------------------------------------------------

void departed_entries::onRemoved(const std::string &endpointId, std::uint64_t incarnation, time_point now)
{
    std::erase_if(m_known, [now](const auto &entry) {
        const time_point removedAt = entry.second.removedAt;
        return removedAt != noDeadline && now > removedAt + removalMemory;
    });
    m_known[endpointId] = {incarnation, now};
}

void departed_entries::onListed(const std::string &endpointId, std::uint64_t incarnation)
{
    m_known[endpointId] = {incarnation, noDeadline};
}

void departed_entries::onReturn(time_point now)
{
    for (const auto &[id, entry] : m_known) {
        const auto [kept, isNew] = m_before.try_emplace(id, entry);
        const bool staysRemoved = kept->second.incarnation == entry.incarnation && kept->second.removedAt != noDeadline;
        const bool isEarlier = entry.incarnation < kept->second.incarnation;
        if (!isNew && !staysRemoved && !isEarlier) {
            kept->second = entry;
        }
    }
    m_known.clear();
    m_until = now + expiryTime;
}

void departed_entries::onExpired()
{
    m_before.clear();
    m_until = noDeadline;
}

bool departed_entries::passesOver(const std::string &endpointId, std::uint64_t incarnation, time_point now) const
{
    const auto found = now < m_until && m_until != noDeadline ? m_before.find(endpointId) : m_before.end();
    if (found == m_before.end()) {
        return false;
    }
    const bool earlier = incarnation < found->second.incarnation;
    const bool removed = incarnation == found->second.incarnation && found->second.removedAt != noDeadline;
    return earlier || removed;
}

} // namespace chicoryrouter
