// Messages about leaving endpoints, as MessagePack lists of id, incarnation and age.
#include "chicoryrouter/departures.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace {

using nlohmann::json;

constexpr std::uint32_t departureSends = 10; // as datagrams may be lost
constexpr std::size_t maxReportsPerRound = 16;
constexpr std::size_t maxItems = 256; // in a message; a longer one is ignored

} // namespace

std::string encodeDepartures(const std::vector<departure> &items, time_point now)
{
    json list = json::array();
    for (const departure &item : items) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.saidAt);
        list.push_back(json::array({item.endpointId, item.incarnation, std::max<std::int64_t>(age.count(), 0)}));
    }
    const auto packed = json::to_msgpack(list);
    return {packed.begin(), packed.end()};
}

std::optional<std::vector<departure>> decodeDepartures(std::string_view bytes, time_point now)
{
    try {
        const json list = json::from_msgpack(bytes);
        if (!list.is_array() || list.size() > maxItems) {
            return std::nullopt;
        }
        std::vector<departure> items;
        for (const json &value : list) {
            const json &age = value.at(2);
            if (!age.is_number_unsigned() || age.get<std::uint64_t>() > UINT32_MAX) {
                return std::nullopt;
            }
            items.push_back({value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>(), now - std::chrono::milliseconds(age.get<std::uint32_t>())});
        }
        return items;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

void departure_reports::add(departure item, time_point now)
{
    std::erase_if(m_reports, [now](const auto &entry) { return now > entry.second.content.saidAt + departureMemory; });
    const std::string id = item.endpointId;
    m_reports[id] = {std::move(item), {}};
}

std::vector<std::string> departure_reports::datagrams(std::size_t maxBytes, time_point now)
{
    std::vector<report *> pending;
    for (auto &[id, item] : m_reports) {
        pending.push_back(&item);
    }
    const auto transmissionOf = [](report &item) -> transmission_state & {
        return item.transmission;
    };
    std::vector<std::string> result;
    std::vector<departure> content;
    for (const report *item : leastRecentlySent(std::move(pending), maxReportsPerRound, departureSends, m_sendCounter, transmissionOf)) {
        content.push_back(item->content);
        if (encodeDepartures(content, now).size() > maxBytes) {
            content.pop_back();
            result.push_back(encodeDepartures(content, now));
            content = {item->content};
        }
    }
    if (!content.empty()) {
        result.push_back(encodeDepartures(content, now));
    }
    return result;
}

} // namespace chicoryrouter
