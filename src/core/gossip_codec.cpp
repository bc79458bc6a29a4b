// Encodes gossip messages as MessagePack. Items are arrays in a fixed order to keep messages small. A newer daemon may append array elements
// or add map keys; an older one ignores them.
#include "chicoryrouter/cluster_state.h"

#include <nlohmann/json.hpp>

namespace chicoryrouter {

using nlohmann::json;

namespace {

constexpr std::size_t maxItems = 4096; // per list in a message; a longer list is ignored

json toJson(const member_info &item)
{
    return json::array({item.instance, item.failureDomain, item.peer.ip, item.peer.port, item.incarnation, static_cast<int>(item.state)});
}

json toJson(const load_report &item)
{
    return json::array({item.endpointId, item.epoch, item.sequence, item.completed, item.running, item.queued});
}

// Most buckets are empty, so only the others are written: one byte for the index, then the count as four bytes, little-endian.
json::binary_t packLatency(const evidence_counts &counts)
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        if (counts.latency[i] == 0) {
            continue;
        }
        bytes.push_back(static_cast<std::uint8_t>(i));
        for (unsigned shift = 0; shift < 32; shift += 8) {
            bytes.push_back(static_cast<std::uint8_t>(counts.latency[i] >> shift));
        }
    }
    return bytes;
}

void unpackLatency(const json::binary_t &bytes, evidence_counts &counts)
{
    constexpr std::size_t entryBytes = 5;
    for (std::size_t at = 0; at + entryBytes <= bytes.size(); at += entryBytes) {
        std::uint32_t count = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            count |= static_cast<std::uint32_t>(bytes[at + 1 + i]) << (8 * i);
        }
        counts.latency.at(bytes[at]) = count;
    }
}

json toJson(const evidence_cell &item)
{
    return json::array({item.origin, item.key.move, item.key.version, item.key.route, item.counts.answered, item.counts.failed, packLatency(item.counts)});
}

json toJson(const move_update &item)
{
    return json::array({item.move, static_cast<int>(item.kind), item.reason});
}

json toJson(const demand_report &item)
{
    json accounts = json::array();
    for (const account_demand &part : item.accounts) {
        accounts.push_back(json::array({part.account, part.perSecond}));
    }
    return json::array({item.origin, item.sequence, accounts});
}

template<typename Item>
json listToJson(const std::vector<Item> &items)
{
    json list = json::array();
    for (const Item &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

template<typename Enum>
Enum readEnum(const json &value, Enum last)
{
    const int number = value.get<int>();
    if (number < 0 || number > static_cast<int>(last)) {
        throw json::other_error::create(501, "enum value out of range", nullptr);
    }
    return static_cast<Enum>(number);
}

void read(const json &value, member_info &item)
{
    item = {value.at(0), value.at(1), {value.at(2), value.at(3)}, value.at(4), readEnum(value.at(5), member_state::Dead)};
}

void read(const json &value, load_report &item)
{
    item = {value.at(0), value.at(1), value.at(2), value.at(3), value.at(4), value.at(5)};
}

void read(const json &value, evidence_cell &item)
{
    item.origin = value.at(0);
    item.key = {value.at(1), value.at(2), value.at(3)};
    item.counts.answered = value.at(4);
    item.counts.failed = value.at(5);
    unpackLatency(value.at(6).get_binary(), item.counts);
}

void read(const json &value, move_update &item)
{
    item = {value.at(0), readEnum(value.at(1), move_update_kind::Done), value.at(2)};
}

void read(const json &value, demand_report &item)
{
    item.origin = value.at(0);
    item.sequence = value.at(1);
    for (const json &part : value.at(2)) {
        item.accounts.push_back({part.at(0), part.at(1)});
    }
}

// Skips single items that can't be parsed, such as an enum value of a newer daemon, and keeps the rest of the list.
template<typename Item>
void readList(const json &message, const char *key, std::vector<Item> &items)
{
    const auto list = message.find(key);
    if (list == message.end() || !list->is_array() || list->size() > maxItems) {
        return;
    }
    for (const json &value : *list) {
        try {
            Item item;
            read(value, item);
            items.push_back(std::move(item));
        } catch (const std::exception &) {
            continue;
        }
    }
}

void addIfAny(json &value, const char *key, json list)
{
    if (!list.empty()) {
        value[key] = std::move(list);
    }
}

std::string packed(const json &value)
{
    const auto bytes = json::to_msgpack(value);
    return {bytes.begin(), bytes.end()};
}

// Returns nullopt when the bytes are not a MessagePack map or exceed maxGossipBytes.
std::optional<json> unpacked(std::string_view bytes)
{
    if (bytes.size() > maxGossipBytes) {
        return std::nullopt;
    }
    json value = json::from_msgpack(bytes, true, false);
    return value.is_object() ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace

std::string encodeGossip(const gossip_message &message)
{
    json value = {{"f", message.from}, {"t", message.to}, {"r", message.advert.revision}, {"h", message.advert.hash}, {"m", listToJson(message.members)}};
    addIfAny(value, "l", listToJson(message.loads));
    addIfAny(value, "e", listToJson(message.evidence));
    addIfAny(value, "v", listToJson(message.moveUpdates));
    addIfAny(value, "d", listToJson(message.demands));
    return packed(value);
}

std::optional<gossip_message> decodeGossip(std::string_view bytes)
{
    const std::optional<json> value = unpacked(bytes);
    if (!value) {
        return std::nullopt;
    }
    try {
        gossip_message message;
        message.from = value->at("f");
        message.to = value->at("t");
        message.advert = {value->at("r"), value->at("h")};
        readList(*value, "m", message.members);
        readList(*value, "l", message.loads);
        readList(*value, "e", message.evidence);
        readList(*value, "v", message.moveUpdates);
        readList(*value, "d", message.demands);
        return message;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string encodeEvidence(const evidence_datagram &datagram)
{
    json value = json::object();
    addIfAny(value, "e", listToJson(datagram.cells));
    addIfAny(value, "v", listToJson(datagram.rejections));
    return packed(value);
}

std::optional<evidence_datagram> decodeEvidence(std::string_view bytes)
{
    const std::optional<json> value = unpacked(bytes);
    if (!value) {
        return std::nullopt;
    }
    evidence_datagram datagram;
    readList(*value, "e", datagram.cells);
    readList(*value, "v", datagram.rejections);
    return datagram;
}

} // namespace chicoryrouter
