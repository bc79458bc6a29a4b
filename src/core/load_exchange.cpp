// Load told between daemons: selection of what a message holds, its encoding, and the sums of what the others told.
#include "chicoryrouter/load_exchange.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr std::uint8_t format = 1;
constexpr std::size_t headBytes = 9;  // format, teller, start, sequence
constexpr std::size_t entryBytes = 4; // flag and key, tokens
constexpr std::size_t paceBytes = 2;  // pace, age
constexpr std::uint32_t keyMask = 0x7fffff;
constexpr std::uint32_t paceFlag = 0x800000;

constexpr std::uint32_t smallestTokens = 16; // the first step above zero
constexpr double stepsPerDoubling = 16.0;
constexpr std::uint32_t paceStep = 5; // percent
constexpr duration paceAgeStep = 8ms;
constexpr duration maxPaceAge = paceAgeStep * 255;

constexpr duration minInterval = 100ms;
constexpr duration intervalPerDaemon = 7500us; // a daemon receives at most 133 messages a second, however many there are
constexpr duration minFadeTime = 3s;
constexpr int fadeIntervals = 12;          // in a large failure domain an entry fades after so many intervals
constexpr double bytesPerSecond = 8000.0;  // sent by one daemon to all its peers, the link's frame included
constexpr std::size_t maxBytes = 1400;     // fits one datagram
constexpr std::uint32_t zeroSends = 2;     // as datagrams may be lost
constexpr std::uint64_t paceWeight = 1000; // a pace that wasn't told yet counts as so many tokens

constexpr duration tellerMemory = 10s;           // a teller that was not heard for so long is forgotten
constexpr std::size_t maxTellers = 512;          // more are refused
constexpr std::size_t maxRemoteEndpoints = 4096; // more are refused

std::uint8_t tokenCode(std::uint32_t tokens)
{
    if (tokens == 0) {
        return 0;
    }
    const double doublings = std::log2(static_cast<double>(std::max(tokens, smallestTokens)) / smallestTokens);
    return static_cast<std::uint8_t>(std::min(1.0 + std::round(stepsPerDoubling * doublings), 255.0));
}

std::array<std::uint32_t, 256> makeTokenSteps()
{
    std::array<std::uint32_t, 256> steps{};
    for (std::size_t code = 1; code < steps.size(); ++code) {
        steps.at(code) = static_cast<std::uint32_t>(std::round(smallestTokens * std::exp2(static_cast<double>(code - 1) / stepsPerDoubling)));
    }
    return steps;
}

std::uint32_t tokensOf(std::uint8_t code)
{
    static const std::array<std::uint32_t, 256> steps = makeTokenSteps();
    return steps.at(code);
}

void putNumber(std::string &bytes, std::uint32_t value, unsigned size) // little-endian
{
    for (unsigned i = 0; i < size; ++i) {
        bytes.push_back(static_cast<char>((value >> (8U * i)) & 0xffU));
    }
}

// Reads numbers from the front of a text that is long enough.
std::uint32_t takeNumber(std::string_view &bytes, unsigned size)
{
    std::uint32_t value = 0;
    for (unsigned i = 0; i < size; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[i])) << (8U * i);
    }
    bytes.remove_prefix(size);
    return value;
}

std::size_t bytesOf(const told_load &entry)
{
    return entryBytes + (entry.pacePercent != 0 ? paceBytes : 0);
}

void putEntry(std::string &bytes, const told_load &entry)
{
    const bool hasPace = entry.pacePercent != 0;
    putNumber(bytes, (entry.key & keyMask) | (hasPace ? paceFlag : 0), 3);
    putNumber(bytes, tokenCode(entry.promptTokens), 1);
    if (hasPace) {
        const std::uint32_t pace = std::clamp<std::uint32_t>((entry.pacePercent + paceStep / 2) / paceStep, 1, 255);
        putNumber(bytes, pace, 1);
        putNumber(bytes, static_cast<std::uint32_t>(std::clamp<std::int64_t>(entry.paceAge / paceAgeStep, 0, 255)), 1);
    }
}

// What this daemon was told by the endpoint itself since then stays.
void applyPace(const endpoint &target, std::uint32_t percent, time_point heardAt)
{
    if (percent != 0 && heardAt > target.load->paceHeardAt.load()) {
        target.load->pacePercent.store(percent, std::memory_order_relaxed);
        target.load->paceHeardAt.store(heardAt);
    }
}

} // namespace

std::uint32_t loadKey(std::uint64_t endpointKey)
{
    return static_cast<std::uint32_t>(mixBits(endpointKey)) & keyMask;
}

std::string encodeLoad(const load_message &message)
{
    std::string bytes;
    bytes.reserve(headBytes + message.entries.size() * (entryBytes + paceBytes));
    putNumber(bytes, format, 1);
    putNumber(bytes, message.teller, 4);
    putNumber(bytes, message.start, 2);
    putNumber(bytes, message.sequence, 2);
    for (const told_load &entry : message.entries) {
        putEntry(bytes, entry);
    }
    return bytes;
}

std::optional<load_message> decodeLoad(std::string_view bytes)
{
    if (bytes.size() < headBytes || bytes.size() > maxBytes || takeNumber(bytes, 1) != format) {
        return std::nullopt;
    }
    load_message message;
    message.teller = takeNumber(bytes, 4);
    message.start = static_cast<std::uint16_t>(takeNumber(bytes, 2));
    message.sequence = static_cast<std::uint16_t>(takeNumber(bytes, 2));
    while (bytes.size() >= entryBytes) {
        const std::uint32_t flagAndKey = takeNumber(bytes, 3);
        told_load entry;
        entry.key = flagAndKey & keyMask;
        entry.promptTokens = tokensOf(static_cast<std::uint8_t>(takeNumber(bytes, 1)));
        if ((flagAndKey & paceFlag) != 0) {
            if (bytes.size() < paceBytes) {
                return std::nullopt;
            }
            entry.pacePercent = takeNumber(bytes, 1) * paceStep;
            entry.paceAge = paceAgeStep * static_cast<std::int64_t>(takeNumber(bytes, 1));
        }
        message.entries.push_back(entry);
    }
    return bytes.empty() ? std::optional(std::move(message)) : std::nullopt;
}

load_exchange::load_exchange(std::string_view self, std::uint64_t processStart)
    : m_self(static_cast<std::uint32_t>(hashBytes(self)))
    , m_start(static_cast<std::uint16_t>(mixBits(processStart)))
{
}

void load_exchange::setPeers(std::size_t count, std::size_t frameBytes)
{
    m_peers = count;
    m_frameBytes = frameBytes;
}

duration load_exchange::interval() const
{
    return std::max<duration>(minInterval, intervalPerDaemon * static_cast<std::int64_t>(m_peers + 1));
}

duration load_exchange::fadeTime() const
{
    return std::max<duration>(minFadeTime, interval() * fadeIntervals);
}

// Linear: full when told, nothing after fadeTime().
std::uint32_t load_exchange::faded(std::uint32_t tokens, time_point toldAt, time_point now) const
{
    const std::int64_t whole = fadeTime().count();
    const std::int64_t left = std::clamp<std::int64_t>(whole - (now - toldAt).count(), 0, whole);
    return static_cast<std::uint32_t>(std::int64_t{tokens} * left / whole);
}

// ---- Telling

// Room for one entry always remains, in however large a failure domain.
std::size_t load_exchange::maxMessageBytes() const
{
    const double perMessage = bytesPerSecond * std::chrono::duration<double>(interval()).count() / static_cast<double>(std::max<std::size_t>(m_peers, 1));
    const auto allowed = std::min(static_cast<std::size_t>(perMessage), maxBytes);
    return std::max(allowed - std::min(allowed, m_frameBytes), headBytes + entryBytes + paceBytes);
}

// A pace that came from another daemon isn't passed on: its teller tells everyone.
bool load_exchange::paceIsNews(const endpoint &item, const own_load &state, time_point now) const
{
    const time_point heardAt = item.load->paceHeardAt.load();
    const auto found = m_remote.find(loadKey(item.key));
    const bool isRemote = found != m_remote.end() && found->second.paceHeardAt == heardAt;
    return heardAt > state.paceToldOf && !isRemote && now - heardAt <= maxPaceAge && item.load->pacePercent != 0;
}

std::vector<load_exchange::candidate> load_exchange::candidates(const std::vector<endpoint_ptr> &endpoints, time_point now)
{
    std::vector<candidate> result;
    for (const endpoint_ptr &item : endpoints) {
        const endpoint_load &load = *item->load;
        own_load &state = m_own[loadKey(item->key)];
        state.seenInRound = m_round;
        candidate one{{loadKey(item->key), load.ownPromptTokens.load(std::memory_order_relaxed), 0, {}}, &state, load.paceHeardAt.load(), 0};
        const std::uint32_t believed = faded(state.toldTokens, state.toldAt, now);
        one.difference = std::max(one.entry.promptTokens, believed) - std::min(one.entry.promptTokens, believed);
        const bool tellsPace = paceIsNews(*item, state, now);
        if (tellsPace) {
            one.entry.pacePercent = load.pacePercent.load(std::memory_order_relaxed);
            one.entry.paceAge = now - one.paceHeardAt;
            one.difference += paceWeight;
        }
        if (one.entry.promptTokens != 0 || state.zerosOwed != 0 || tellsPace) {
            result.push_back(one);
        }
    }
    return result;
}

// The entries by which the others are most wrong go first. Those left out don't starve: what the others believe of them fades, so their difference grows.
std::string load_exchange::datagram(const std::vector<endpoint_ptr> &endpoints, time_point now)
{
    ++m_round;
    std::vector<candidate> pending = candidates(endpoints, now);
    std::stable_sort(pending.begin(), pending.end(), [](const candidate &a, const candidate &b) { return a.difference > b.difference; });
    load_message message{m_self, m_start, ++m_sequence, {}};
    std::size_t room = maxMessageBytes() - headBytes;
    for (candidate &one : pending) {
        if (bytesOf(one.entry) > room) {
            continue;
        }
        room -= bytesOf(one.entry);
        message.entries.push_back(one.entry);
        own_load &state = *one.state;
        const std::uint32_t zerosLeft = state.zerosOwed - std::min(state.zerosOwed, 1U);
        state.zerosOwed = one.entry.promptTokens != 0 ? zeroSends : zerosLeft;
        state.toldTokens = one.entry.promptTokens;
        state.toldAt = now;
        state.paceToldOf = one.entry.pacePercent != 0 ? one.paceHeardAt : state.paceToldOf;
    }
    std::erase_if(m_own, [this](const auto &item) { return item.second.seenInRound != m_round; });
    return encodeLoad(message);
}

// ---- Hearing

bool load_exchange::receive(std::string_view bytes, time_point now)
{
    const std::optional<load_message> message = decodeLoad(bytes);
    if (!message) {
        ++m_counts.malformed;
        return false;
    }
    if (!acceptTeller(*message, now)) {
        return false;
    }
    ++m_counts.accepted;
    for (const told_load &entry : message->entries) {
        takeEntry(message->teller, entry, now);
    }
    return true;
}

bool load_exchange::acceptTeller(const load_message &message, time_point now)
{
    const auto found = m_tellers.find(message.teller);
    if (message.teller == m_self || (found == m_tellers.end() && m_tellers.size() >= maxTellers)) {
        ++m_counts.refused;
        return false;
    }
    if (found == m_tellers.end()) {
        m_tellers[message.teller] = {message.start, 0, false, message.sequence, now};
        return true;
    }
    teller &from = found->second;
    const bool restarted = message.start != from.start;
    const auto ahead = static_cast<std::int16_t>(static_cast<std::uint16_t>(message.sequence - from.sequence));
    const bool late = restarted ? from.restarted && message.start == from.previousStart : ahead <= 0;
    if (late) {
        ++m_counts.late;
        return false;
    }
    if (restarted) {
        from.previousStart = from.start;
        from.restarted = true;
        from.start = message.start;
        for (auto &[key, known] : m_remote) {
            std::erase_if(known.tokens, [&](const told_tokens &item) { return item.teller == message.teller; });
        }
    }
    from.sequence = message.sequence;
    from.heardAt = now;
    return true;
}

void load_exchange::takeEntry(std::uint32_t from, const told_load &entry, time_point now)
{
    if (!m_remote.contains(entry.key) && m_remote.size() >= maxRemoteEndpoints) {
        ++m_counts.refused;
        return;
    }
    remote_load &known = m_remote[entry.key];
    std::erase_if(known.tokens, [from](const told_tokens &item) { return item.teller == from; });
    if (entry.promptTokens != 0) {
        known.tokens.push_back({from, entry.promptTokens, now});
    }
    const time_point paceHeardAt = now - entry.paceAge;
    if (entry.pacePercent != 0 && paceHeardAt > known.paceHeardAt) {
        known.pacePercent = entry.pacePercent;
        known.paceHeardAt = paceHeardAt;
        m_heardPace = true;
    }
}

void load_exchange::apply(const std::vector<endpoint_ptr> &endpoints, time_point now)
{
    forgetTellers(now);
    forgetFaded(now);
    for (const endpoint_ptr &item : endpoints) {
        const auto found = m_remote.find(loadKey(item->key));
        std::uint32_t sum = 0;
        if (found != m_remote.end()) {
            for (const told_tokens &told : found->second.tokens) {
                sum += faded(told.promptTokens, told.toldAt, now);
            }
            applyPace(*item, found->second.pacePercent, found->second.paceHeardAt);
        }
        if (item->load->remotePromptTokens.load(std::memory_order_relaxed) != sum) {
            item->load->remotePromptTokens.store(sum, std::memory_order_relaxed);
        }
    }
}

void load_exchange::forgetTellers(time_point now)
{
    std::erase_if(m_tellers, [now](const auto &item) { return now > item.second.heardAt + tellerMemory; });
}

void load_exchange::forgetFaded(time_point now)
{
    const duration fade = fadeTime();
    for (auto &[key, known] : m_remote) {
        std::erase_if(known.tokens, [&](const told_tokens &item) { return now >= item.toldAt + fade; });
    }
    std::erase_if(m_remote, [&](const auto &item) { return item.second.tokens.empty() && now > item.second.paceHeardAt + tellerMemory; });
}

time_point load_exchange::knownAt() const
{
    if (m_tellers.empty()) {
        return time_point{};
    }
    duration sum{};
    for (const auto &[name, from] : m_tellers) {
        sum += from.heardAt.time_since_epoch() / static_cast<std::int64_t>(m_tellers.size());
    }
    return time_point(sum);
}

} // namespace chicoryrouter
