// Positions in the history of the key-value service, which may come back from an older copy of itself: what it acknowledged since the copy
// is then lost, and its revisions are given out again for other changes. The service counts its returns in an era.
//
// Index
//   positions . eras . the record of a return . endpoints that left before a return
//
// No clock, socket or thread.
#pragma once

#include "chicoryrouter/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

// ---- Positions -------------------------------------------------------------------------------------------------------------------------

// Revisions rise within one era only. A service that states no era stays in era 0.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const store_position &) const = default;
};

// One number that rises with the position, for peers and platforms that compare plain numbers: the revision itself in the first era, and
// more than any of the earlier eras' numbers afterwards. Below 2^53, so that it survives JSON.
std::uint64_t risingNumber(store_position position, std::uint64_t firstEra);

// ---- Eras ------------------------------------------------------------------------------------------------------------------------------

// The era that the service's answers state. Several connections may deliver their answers out of order.
class store_eras
{
public:
    std::function<void(std::uint64_t before)> onReturn; // the service has come back from an older copy; called before the answer is used

    // Whether an answer may be used; `stated` is its era as text, empty when it states none. The first era stated after answers without one is
    // a return. An answer of an earlier era is outdated if its call began before the present era was known; if it began later, the service has
    // lost its count, which is one more return.
    bool accepts(std::string_view stated, time_point calledAt, time_point now);

    [[nodiscard]] std::uint64_t current() const { return m_current; }      // 0 until an answer states one
    [[nodiscard]] bool areStated() const { return m_since != noDeadline; } // some answer has stated an era

private:
    std::uint64_t m_current = 0;
    bool m_usedWithout = false;      // an answer that states no era was used
    time_point m_since = noDeadline; // when the present era became known
};

// ---- The record of a return ------------------------------------------------------------------------------------------------------------

// What the daemons keep in the service about its newest return. The first daemon that notices the return writes it, together with what only
// the daemons still know; until then nobody leads, and no document is composed of what the service holds.
struct return_record
{
    struct known_order
    {
        std::uint64_t order = 0;   // id of the order of a version move before the return
        std::uint64_t content = 0; // hash of its text
    };

    std::uint64_t firstEra = 0;                // in which the deployment began
    std::uint64_t era = 0;                     // in which this was written
    time_point seenAt{};                       // wall-clock time at which the writer noticed the era
    std::uint64_t configurationVersion = 0;    // newest that was accepted before the return; an older one is not put in force again
    std::map<std::string, known_order> orders; // by service: given again unchanged, an order is the one of before
    std::uint64_t ordersUntil = 0;             // revision up to which an unchanged order is the one of before; 0: not known yet

    [[nodiscard]] bool isFirstEra() const { return era == firstEra; } // no return has been seen yet
};

std::string encodeReturn(const return_record &record);
std::optional<return_record> decodeReturn(std::string_view text); // nullopt when it is not such a record

// Id of the order of a version move that the service holds as `text` at `revision`. An order that the operator has written again after a
// return is not a new one, and a new one bears no number of before.
std::uint64_t orderOf(const std::optional<return_record> &record, const std::string &service, std::string_view text, std::uint64_t revision);

// ---- Endpoints that left before a return -----------------------------------------------------------------------------------------------

// An older copy brings back entries of endpoints that have left or were replaced since. They are passed over until they would have expired
// without heartbeats of their own.
class departed_entries
{
public:
    void onRemoved(const std::string &endpointId, std::uint64_t incarnation, time_point now);
    void onListed(const std::string &endpointId, std::uint64_t incarnation);
    void onExpired();              // nothing is passed over any more
    void onReturn(time_point now); // entries that were removed lately, and earlier incarnations, are passed over for a while
    [[nodiscard]] bool passesOver(const std::string &endpointId, std::uint64_t incarnation, time_point now) const;
    [[nodiscard]] time_point until() const { return m_until; } // noDeadline: nothing is passed over

private:
    struct known
    {
        std::uint64_t incarnation = 0;
        time_point removedAt = noDeadline; // noDeadline: listed
    };

    std::map<std::string, known> m_known;  // by endpoint id; the removed ones for a while only
    std::map<std::string, known> m_before; // as known when the service came back
    time_point m_until = noDeadline;
};

} // namespace chicoryrouter
