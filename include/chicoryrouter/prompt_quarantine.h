// Finds the parts of prompts that crash endpoints ("queries of death"), so that requests with such a part are kept away from all endpoints.
// A whole prompt counts as the narrowest of its parts, as its callers may send it again.
//
// A crash takes every request that is open at the endpoint, so a single one accuses innocent prompts too. Each daemon notes of its own
// requests which parts a prompt had whose endpoint was lost before it answered, and which parts were answered. The daemons send each other
// these reports. A part is quarantined when it was there in several crashes at several daemons and no prompt with it has been answered since:
// parts that sound prompts share are answered all the time, also between two crashes.
//
// Index
//   outcomes . reports and messages . prompt_quarantine
//
// No clock, socket or thread; used on the control strand only. Times are on a clock that counts suspension; messages carry ages.
#pragma once

#include "chicoryrouter/prompt_parts.h"
#include "chicoryrouter/send_order.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryrouter {

// Pieces of a stream after which its prompt counts as answered. Below that, a lost endpoint may have crashed as it began to answer.
inline constexpr std::uint32_t answeredAfterPieces = 3;

// ---- Outcomes --------------------------------------------------------------------------------------------------------------------------

// What became of a prompt at an endpoint.
struct prompt_outcome
{
    prompt_parts parts;
    std::uint64_t endpoint = 0; // endpoint::key
    bool answered = false;      // complete, or answeredAfterPieces arrived; false: the endpoint was lost before that
};

// ---- Reports and messages --------------------------------------------------------------------------------------------------------------

// The loss of an endpoint while a prompt waited there for its answer.
struct crash_sighting
{
    std::uint64_t endpoint = 0; // endpoint::key
    time_point at{};
};

// What one daemon knows of one part from its own requests.
struct part_report
{
    std::uint64_t part = 0;
    std::uint32_t depth = 0;             // greatest position of the part in a prompt; later parts are shared by fewer prompts
    std::vector<crash_sighting> crashes; // oldest first
    time_point answeredAt{};             // newest answer to a prompt with this part; the epoch: none known
};

struct quarantined_part
{
    std::uint64_t part = 0;
    time_point until{};
};

struct quarantine_message
{
    std::uint64_t origin = 0; // identifies the sending process
    std::vector<part_report> reports;
    std::vector<quarantined_part> quarantined;
};

std::string encodeQuarantine(const quarantine_message &message, time_point now);
std::optional<quarantine_message> decodeQuarantine(std::string_view bytes, time_point now); // nullopt when it is not such a message

// ---- Quarantine ------------------------------------------------------------------------------------------------------------------------

struct prompt_quarantine_options
{
    duration quarantineTime = std::chrono::minutes(10);
    duration memory = std::chrono::minutes(10); // older crashes are forgotten
    // Crashes after which a part is quarantined. Between the first and the last of them must lie minSpan, or minSpanOnceSound: many endpoints that
    // are lost at once accuse every open prompt.
    std::size_t crashes = 3;            // no answer to the part is known, and two daemons or more saw the crashes
    std::size_t crashesAtOneDaemon = 5; // the same, but only one saw them: its links may be at fault
    std::size_t crashesOnceSound = 6;   // prompts with the part were answered before the crashes
    duration minSpan = std::chrono::milliseconds(500);
    duration minSpanOnceSound = std::chrono::seconds(2);
};

// A part that is quarantined from now on, or no longer.
struct quarantine_change
{
    enum class cause : std::uint8_t {
        Decided, // by this daemon, from the reports
        Adopted, // another daemon told, or the key-value service
        Ended,
    };

    cause why = cause::Decided;
    quarantined_part item;
    std::size_t crashes = 0; // Decided only: those that were counted
};

class prompt_quarantine
{
public:
    explicit prompt_quarantine(std::uint64_t self, prompt_quarantine_options options = {}); // `self`: identifies this process

    // ---- This daemon's requests
    void onOutcome(const prompt_outcome &outcome, time_point now);

    // ---- Other daemons and the key-value service
    std::vector<std::string> datagrams(std::size_t maxBytes, time_point now); // to be sent to all daemons; empty while there is nothing to tell
    void receive(std::string_view bytes, time_point now);                     // ignores invalid bytes
    void adopt(const quarantined_part &item, time_point now);                 // ignores a part that is quarantined already

    // ---- Result
    std::vector<quarantine_change> update(std::size_t daemons, time_point now); // call several times a second; `daemons`: live ones, this one included
    [[nodiscard]] prompt_parts quarantined() const;                             // in ascending order
    [[nodiscard]] std::size_t suspectCount() const { return m_suspects.size(); }

private:
    struct origin_report
    {
        part_report content;
        transmission_state transmission; // of this daemon's own report only
    };

    // Invariant: newestCrash is the newest one in all reports, and not older than `memory` as of the last update().
    struct suspect
    {
        std::map<std::uint64_t, origin_report> byOrigin;
        time_point firstCrash{}; // of those heard of
        time_point newestCrash{};
    };

    struct held_part
    {
        time_point until{};
        transmission_state transmission;
    };

    struct accusation
    {
        std::vector<crash_sighting> crashes; // by time; one for each endpoint that was lost
        std::size_t origins = 0;
        std::uint32_t depth = 0;
        bool onceSound = false;
    };

    void onLost(const prompt_outcome &outcome, time_point now);
    void onAnswered(const prompt_parts &parts, time_point now);
    void addCrash(suspect &item, std::uint64_t origin, std::uint64_t part, std::uint32_t depth, const crash_sighting &crash);
    void addAnswer(suspect &item, std::uint64_t origin, std::uint64_t part, time_point at);
    void forgetOld(time_point now);
    void limitSuspects();
    void hold(const quarantined_part &item, quarantine_change::cause why, std::size_t crashes);
    [[nodiscard]] time_point answeredBefore(std::uint64_t part) const;
    [[nodiscard]] bool isExplained(const crash_sighting &crash) const;
    [[nodiscard]] accusation accuse(const suspect &item) const;
    [[nodiscard]] bool mayBeGuilty(const suspect &item) const;
    [[nodiscard]] bool isGuilty(const accusation &found, std::size_t daemons) const;

    std::uint64_t m_self;
    prompt_quarantine_options m_options;
    std::map<std::uint64_t, suspect> m_suspects; // by part
    std::map<std::uint64_t, held_part> m_held;   // quarantined, by part
    // Parts that this daemon's requests had answered, and when last. When m_answered is full it replaces m_answeredEarlier.
    std::unordered_map<std::uint64_t, time_point> m_answered;
    std::unordered_map<std::uint64_t, time_point> m_answeredEarlier;
    time_point m_newestAnswer{};              // to any request of this daemon; shows that it reaches sound endpoints
    std::vector<quarantine_change> m_changes; // since the last update()
    std::uint64_t m_sendCounter = 0;          // for leastRecentlySent()
};

} // namespace chicoryrouter
