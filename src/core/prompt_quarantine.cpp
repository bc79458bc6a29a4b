// Reports on prompt parts, and the decision which of them are quarantined.
#include "chicoryrouter/prompt_quarantine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration sameCrash = 1s;             // daemons notice one crash at different moments; an endpoint needs longer than this to come back
constexpr duration otherAnswersAfter = 300ms;  // after the first crash: answers that had begun before it show nothing
constexpr duration clearedMemory = 30s;        // a suspect without a crash since its newest answer is forgotten sooner than others
constexpr std::size_t maxCrashesPerReport = 8; // the newest ones
constexpr std::size_t maxSuspects = 512;
constexpr std::size_t maxHeld = 64;
constexpr std::size_t maxAnsweredParts = 8192; // of each generation; each answer adds its whole prompt
constexpr std::size_t maxReportsPerRound = 24;
constexpr std::uint32_t reportSends = 6; // of each new state, as datagrams may be lost
constexpr std::uint32_t heldSends = 10;
constexpr std::size_t maxItems = 256; // per list in a message; a longer list is ignored

bool isSameCrash(const crash_sighting &a, const crash_sighting &b)
{
    return a.endpoint == b.endpoint && a.at < b.at + sameCrash && b.at < a.at + sameCrash;
}

bool contains(const std::vector<crash_sighting> &crashes, const crash_sighting &crash)
{
    return std::any_of(crashes.begin(), crashes.end(), [&](const crash_sighting &known) { return isSameCrash(known, crash); });
}

std::int64_t ageInMs(time_point moment, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - moment).count();
}

time_point momentOf(const json &ageInMs, time_point now)
{
    constexpr std::int64_t maxAgeMs = 24 * 3'600'000;
    return now - std::chrono::milliseconds(std::clamp<std::int64_t>(ageInMs.get<std::int64_t>(), 0, maxAgeMs));
}

json toJson(const part_report &item, time_point now)
{
    json crashes = json::array();
    for (const crash_sighting &crash : item.crashes) {
        crashes.push_back(json::array({crash.endpoint, ageInMs(crash.at, now)}));
    }
    const json answeredAge = item.answeredAt == time_point{} ? json() : json(ageInMs(item.answeredAt, now));
    return json::array({item.part, item.depth, std::move(crashes), answeredAge});
}

part_report readReport(const json &value, time_point now)
{
    part_report item;
    item.part = value.at(0).get<std::uint64_t>();
    item.depth = value.at(1).get<std::uint32_t>();
    for (const json &crash : value.at(2)) {
        item.crashes.push_back({crash.at(0).get<std::uint64_t>(), momentOf(crash.at(1), now)});
    }
    item.answeredAt = value.at(3).is_null() ? time_point{} : momentOf(value.at(3), now);
    return item;
}

} // namespace

// ---- Messages --------------------------------------------------------------------------------------------------------------------------

std::string encodeQuarantine(const quarantine_message &message, time_point now)
{
    json reports = json::array();
    for (const part_report &item : message.reports) {
        reports.push_back(toJson(item, now));
    }
    json quarantined = json::array();
    for (const quarantined_part &item : message.quarantined) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(item.until - now);
        quarantined.push_back(json::array({item.part, left.count()}));
    }
    const auto packed = json::to_msgpack({{"o", message.origin}, {"r", std::move(reports)}, {"q", std::move(quarantined)}});
    return {packed.begin(), packed.end()};
}

std::optional<quarantine_message> decodeQuarantine(std::string_view bytes, time_point now)
{
    try {
        const json value = json::from_msgpack(bytes);
        quarantine_message message;
        message.origin = value.at("o").get<std::uint64_t>();
        const json &reports = value.at("r");
        const json &quarantined = value.at("q");
        if (reports.size() > maxItems || quarantined.size() > maxItems) {
            return std::nullopt;
        }
        for (const json &item : reports) {
            message.reports.push_back(readReport(item, now));
        }
        for (const json &item : quarantined) {
            const std::chrono::milliseconds left(std::clamp<std::int64_t>(item.at(1).get<std::int64_t>(), 0, 24 * 3'600'000));
            message.quarantined.push_back({item.at(0).get<std::uint64_t>(), now + left});
        }
        return message;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

// ---- Observations ----------------------------------------------------------------------------------------------------------------------

prompt_quarantine::prompt_quarantine(std::uint64_t self, prompt_quarantine_options options)
    : m_self(self)
    , m_options(options)
{
}

void prompt_quarantine::onOutcome(const prompt_outcome &outcome, time_point now)
{
    if (outcome.answered) {
        onAnswered(outcome.parts, now);
    } else {
        onLost(outcome, now);
    }
}

void prompt_quarantine::onLost(const prompt_outcome &outcome, time_point now)
{
    for (std::size_t i = 0; i < outcome.parts.size(); ++i) {
        const std::uint64_t part = outcome.parts[i];
        addCrash(m_suspects[part], m_self, part, static_cast<std::uint32_t>(i), {outcome.endpoint, now});
    }
    limitSuspects();
}

void prompt_quarantine::onAnswered(const prompt_parts &parts, time_point now)
{
    m_newestAnswer = now;
    for (const std::uint64_t part : parts) {
        m_answered[part] = now;
        const auto found = m_suspects.find(part);
        if (found != m_suspects.end()) {
            addAnswer(found->second, m_self, part, now);
        }
    }
    if (m_answered.size() > maxAnsweredParts) {
        m_answeredEarlier = std::move(m_answered);
        m_answered.clear();
    }
}

time_point prompt_quarantine::answeredBefore(std::uint64_t part) const
{
    for (const auto *generation : {&m_answered, &m_answeredEarlier}) {
        const auto found = generation->find(part);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return {};
}

// Adds a crash to one daemon's report, unless the report has it already. Whoever hears of a new suspect adds what it knows of answers.
void prompt_quarantine::addCrash(suspect &item, std::uint64_t origin, std::uint64_t part, std::uint32_t depth, const crash_sighting &crash)
{
    origin_report &report = item.byOrigin[origin];
    report.content.part = part;
    report.content.depth = std::max(report.content.depth, depth);
    if (contains(report.content.crashes, crash)) {
        return;
    }
    const auto later = std::upper_bound(
        report.content.crashes.begin(), report.content.crashes.end(), crash, [](const crash_sighting &a, const crash_sighting &b) { return a.at < b.at; });
    report.content.crashes.insert(later, crash);
    if (report.content.crashes.size() > maxCrashesPerReport) {
        report.content.crashes.erase(report.content.crashes.begin());
    }
    report.transmission.sendCount = 0;
    item.firstCrash = item.firstCrash == time_point{} ? crash.at : std::min(item.firstCrash, crash.at);
    item.newestCrash = std::max(item.newestCrash, crash.at);
    const time_point answeredAt = answeredBefore(part);
    if (answeredAt != time_point{}) {
        addAnswer(item, m_self, part, answeredAt);
    }
}

// Answers come all the time, so only one that clears a crash, or is the first, is worth telling.
void prompt_quarantine::addAnswer(suspect &item, std::uint64_t origin, std::uint64_t part, time_point at)
{
    origin_report &report = item.byOrigin[origin];
    report.content.part = part;
    const bool clears = report.content.answeredAt == time_point{} || (report.content.answeredAt <= item.newestCrash && at > item.newestCrash);
    report.content.answeredAt = std::max(report.content.answeredAt, at);
    report.transmission.sendCount = clears ? 0 : report.transmission.sendCount;
}

// Drops the suspects whose crashes are oldest, first those that were in a single one: each crash accuses as many whole prompts as were open.
// Quarantined ones stay, as they account for crashes.
void prompt_quarantine::limitSuspects()
{
    const auto rank = [this](const auto &item) {
        return std::tuple(m_held.count(item.first), item.second.firstCrash + sameCrash < item.second.newestCrash, item.second.newestCrash);
    };
    while (m_suspects.size() > maxSuspects) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
    }
}

// ---- Other daemons ---------------------------------------------------------------------------------------------------------------------

std::vector<std::string> prompt_quarantine::datagrams(std::size_t maxBytes, time_point now)
{
    std::vector<origin_report *> own;
    for (auto &[part, item] : m_suspects) {
        const auto found = item.byOrigin.find(m_self);
        if (found != item.byOrigin.end()) {
            own.push_back(&found->second);
        }
    }
    std::vector<std::pair<const std::uint64_t, held_part> *> held;
    for (auto &item : m_held) {
        held.push_back(&item);
    }
    quarantine_message content;
    content.origin = m_self;
    const auto transmissionOfHeld = [](auto &item) -> transmission_state & {
        return item.second.transmission;
    };
    for (const auto *item : leastRecentlySent(std::move(held), maxReportsPerRound, heldSends, m_sendCounter, transmissionOfHeld)) {
        content.quarantined.push_back({item->first, item->second.until});
    }
    std::vector<std::string> result;
    std::string bytes = content.quarantined.empty() ? std::string() : encodeQuarantine(content, now);
    const auto transmissionOf = [](origin_report &item) -> transmission_state & {
        return item.transmission;
    };
    for (const origin_report *item : leastRecentlySent(std::move(own), maxReportsPerRound, reportSends, m_sendCounter, transmissionOf)) {
        content.reports.push_back(item->content);
        std::string longer = encodeQuarantine(content, now);
        if (longer.size() > maxBytes) {
            if (!bytes.empty()) {
                result.push_back(std::move(bytes));
            }
            content.reports = {item->content};
            content.quarantined.clear();
            longer = encodeQuarantine(content, now);
        }
        bytes = std::move(longer);
    }
    if (!bytes.empty()) {
        result.push_back(std::move(bytes));
    }
    return result;
}

void prompt_quarantine::receive(std::string_view bytes, time_point now)
{
    const std::optional<quarantine_message> message = decodeQuarantine(bytes, now);
    if (!message || message->origin == m_self) {
        return;
    }
    for (const quarantined_part &item : message->quarantined) {
        adopt(item, now);
    }
    for (const part_report &report : message->reports) {
        const bool known = m_suspects.count(report.part) > 0;
        if (!known && report.crashes.empty()) {
            continue; // the part is suspected elsewhere; the accusing report comes, or has lapsed here
        }
        suspect &item = m_suspects[report.part];
        for (const crash_sighting &crash : report.crashes) {
            addCrash(item, message->origin, report.part, report.depth, crash);
        }
        if (report.answeredAt != time_point{}) {
            addAnswer(item, message->origin, report.part, report.answeredAt);
        }
    }
    limitSuspects();
}

void prompt_quarantine::adopt(const quarantined_part &item, time_point now)
{
    if (item.until > now) {
        hold({item.part, std::min(item.until, now + m_options.quarantineTime)}, quarantine_change::cause::Adopted, 0);
    }
}

void prompt_quarantine::hold(const quarantined_part &item, quarantine_change::cause why, std::size_t crashes)
{
    if (m_held.count(item.part) > 0 || m_held.size() >= maxHeld) {
        return;
    }
    m_held[item.part] = {item.until, {}};
    m_changes.push_back({why, item, crashes});
}

// ---- Decision --------------------------------------------------------------------------------------------------------------------------

// Whether a prompt with a quarantined part was lost in the crash.
bool prompt_quarantine::isExplained(const crash_sighting &crash) const
{
    for (const auto &[part, held] : m_held) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end()) {
            continue;
        }
        for (const auto &[origin, report] : found->second.byOrigin) {
            if (contains(report.content.crashes, crash)) {
                return true;
            }
        }
    }
    return false;
}

prompt_quarantine::accusation prompt_quarantine::accuse(const suspect &item) const
{
    accusation found;
    time_point answeredAt{};
    for (const auto &[origin, report] : item.byOrigin) {
        answeredAt = std::max(answeredAt, report.content.answeredAt);
        found.depth = std::max(found.depth, report.content.depth);
    }
    found.onceSound = answeredAt != time_point{};
    for (const auto &[origin, report] : item.byOrigin) {
        bool counts = false;
        for (const crash_sighting &crash : report.content.crashes) {
            if (crash.at <= answeredAt || isExplained(crash)) {
                continue;
            }
            counts = true;
            if (!contains(found.crashes, crash)) {
                found.crashes.push_back(crash);
            }
        }
        found.origins += counts ? 1 : 0;
    }
    std::sort(found.crashes.begin(), found.crashes.end(), [](const crash_sighting &a, const crash_sighting &b) { return a.at < b.at; });
    return found;
}

// Cheap check that spares accuse() for the many suspects with a single crash.
bool prompt_quarantine::mayBeGuilty(const suspect &item) const
{
    std::size_t crashes = 0;
    for (const auto &[origin, report] : item.byOrigin) {
        crashes += report.content.crashes.size();
    }
    return crashes >= m_options.crashes;
}

bool prompt_quarantine::isGuilty(const accusation &found, std::size_t daemons) const
{
    const bool seenByOthers = found.origins >= std::min<std::size_t>(2, daemons);
    const std::size_t neededIfNew = seenByOthers ? m_options.crashes : m_options.crashesAtOneDaemon;
    const std::size_t needed = found.onceSound ? m_options.crashesOnceSound : neededIfNew;
    const duration minSpan = found.onceSound ? m_options.minSpanOnceSound : m_options.minSpan;
    if (found.crashes.size() < needed || found.crashes.back().at < found.crashes.front().at + minSpan) {
        return false;
    }
    return m_newestAnswer > found.crashes.front().at + otherAnswersAfter; // else this daemon may be cut off from sound endpoints
}

void prompt_quarantine::forgetOld(time_point now)
{
    std::erase_if(m_suspects, [&](const auto &item) {
        const auto &reports = item.second.byOrigin;
        const bool cleared
            = std::any_of(reports.begin(), reports.end(), [&](const auto &report) { return report.second.content.answeredAt > item.second.newestCrash; });
        return now > item.second.newestCrash + (cleared ? clearedMemory : m_options.memory);
    });
    for (auto item = m_held.begin(); item != m_held.end();) {
        if (now < item->second.until) {
            ++item;
            continue;
        }
        m_changes.push_back({quarantine_change::cause::Ended, {item->first, item->second.until}, 0});
        m_suspects.erase(item->first); // what is known of it starts anew
        item = m_held.erase(item);
    }
}

// One part at a time, the most accused first and of equally accused ones the later in the prompt: a deadly part takes the parts beside it
// along, and once it is quarantined, its crashes accuse them no longer.
std::vector<quarantine_change> prompt_quarantine::update(std::size_t daemons, time_point now)
{
    forgetOld(now);
    while (true) {
        std::uint64_t worst = 0;
        accusation worstFound;
        for (const auto &[part, item] : m_suspects) {
            if (m_held.count(part) > 0 || !mayBeGuilty(item)) {
                continue;
            }
            accusation found = accuse(item);
            const bool isWorse = std::pair(found.crashes.size(), found.depth) > std::pair(worstFound.crashes.size(), worstFound.depth);
            if (isGuilty(found, daemons) && isWorse) {
                worst = part;
                worstFound = std::move(found);
            }
        }
        if (worstFound.crashes.empty() || m_held.size() >= maxHeld) {
            break;
        }
        hold({worst, now + m_options.quarantineTime}, quarantine_change::cause::Decided, worstFound.crashes.size());
    }
    return std::exchange(m_changes, {});
}

prompt_parts prompt_quarantine::quarantined() const
{
    prompt_parts parts;
    for (const auto &[part, item] : m_held) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace chicoryrouter
