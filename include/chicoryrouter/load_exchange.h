// What the daemons of one failure domain tell each other about the endpoints' load: how many prompt tokens of their own requests wait to be read
// at each endpoint, and the pace that the endpoints stated in answers. So each daemon knows the sum of what all have sent.
//
// The load it answers: many daemons with few requests each and many endpoints. A daemon learns of an endpoint from its own answers every few
// seconds only, and what the others have sent since is what delays its next prompt.
//
// Index
//   the message . load_exchange
//
// How to use: at each tick call apply(), and every interval() send datagram() to the other daemons of the failure domain. Pass what arrives to
// receive(). Results are in endpoint_load::remotePromptTokens, pacePercent and paceHeardAt.
// A message names only what changed, or what fits: an entry stays in force until its teller replaces it, and counts less with its age, until it
// has faded (fadeTime()). So what a dead teller said, or what a lost datagram should have taken back, goes by itself, and without peers, or with
// peers of an older version, the sums are 0.
// No clock, socket or thread; used on the control strand only. Counters of endpoints are atomic.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryrouter {

// ---- The message

// One endpoint in a message. Values are rounded: see encodeLoad().
struct told_load
{
    std::uint32_t key = 0;          // loadKey() of the endpoint
    std::uint32_t promptTokens = 0; // of the teller's requests that have no part of an answer yet
    std::uint32_t pacePercent = 0;  // as the endpoint stated it last; 0: nothing new
    duration paceAge{};             // time since then

    bool operator==(const told_load &) const = default;
};

struct load_message
{
    std::uint32_t teller = 0;   // hash of the daemon's name
    std::uint16_t start = 0;    // hash of the process's start
    std::uint16_t sequence = 0; // grows with every message, and wraps
    std::vector<told_load> entries;
};

std::uint32_t loadKey(std::uint64_t endpointKey); // 23 bits: two endpoints that share one are taken to have the sum of both

// Binary, 9 bytes and 4 for each entry, 6 with a pace. Tokens are rounded to one of 16 steps for each doubling (16 to 960,000), the pace to 5% (up
// to 1,275%), its age to 8 ms (up to 2 s).
std::string encodeLoad(const load_message &message);
std::optional<load_message> decodeLoad(std::string_view bytes); // nullopt when it is not such a message, or one of a later format

// ---- load_exchange

// Messages that arrived, by what became of them.
struct load_exchange_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t malformed = 0; // not a message of this format
    std::uint64_t late = 0;      // doubled, overtaken by a newer one, or from a process before the known restart
    std::uint64_t refused = 0;   // this daemon's own, or more tellers or endpoints than are kept
};

class load_exchange
{
public:
    load_exchange(std::string_view self, std::uint64_t processStart);

    void setPeers(std::size_t count, std::size_t frameBytes); // daemons that datagram() is sent to, and bytes that the link adds to each datagram
    [[nodiscard]] duration interval() const;                  // between two calls of datagram(); grows with the peers
    [[nodiscard]] duration fadeTime() const;                  // an entry that was told so long ago counts no more

    std::string datagram(const std::vector<endpoint_ptr> &endpoints, time_point now); // also without news, so that the others know that nothing changed
    bool receive(std::string_view bytes, time_point now);                             // false: dropped
    void apply(const std::vector<endpoint_ptr> &endpoints, time_point now);

    [[nodiscard]] std::size_t tellerCount() const { return m_tellers.size(); } // as of the last apply()
    [[nodiscard]] time_point knownAt() const;                                  // mean of when each teller was heard last; the epoch without tellers
    [[nodiscard]] bool heardPace() const { return m_heardPace; }               // another daemon has told a pace
    [[nodiscard]] const load_exchange_counts &counts() const { return m_counts; }

private:
    struct teller
    {
        std::uint16_t start = 0;
        std::uint16_t previousStart = 0; // of the process before the restart
        bool restarted = false;          // `previousStart` is known
        std::uint16_t sequence = 0;
        time_point heardAt{};
    };

    struct told_tokens
    {
        std::uint32_t teller = 0;
        std::uint32_t promptTokens = 0;
        time_point toldAt{};
    };

    // What the others have told of one endpoint.
    struct remote_load
    {
        std::vector<told_tokens> tokens; // one for each teller; none that has faded, as of the last apply()
        std::uint32_t pacePercent = 0;   // the newest; 0: none
        time_point paceHeardAt{};
    };

    // What this daemon has told of one endpoint.
    struct own_load
    {
        std::uint32_t toldTokens = 0;
        time_point toldAt{};
        std::uint32_t zerosOwed = 0;   // how often it is to be told that nothing waits any more
        time_point paceToldOf{};       // endpoint_load::paceHeardAt of the pace that was told last
        std::uint64_t seenInRound = 0; // the last datagram() whose endpoints included it
    };

    struct candidate
    {
        told_load entry;
        own_load *state = nullptr;
        time_point paceHeardAt{};
        std::uint64_t difference = 0; // tokens by which the others are wrong without it
    };

    [[nodiscard]] std::uint32_t faded(std::uint32_t tokens, time_point toldAt, time_point now) const;
    [[nodiscard]] std::size_t maxMessageBytes() const;
    std::vector<candidate> candidates(const std::vector<endpoint_ptr> &endpoints, time_point now);
    bool acceptTeller(const load_message &message, time_point now);
    void forgetTellers(time_point now);
    void forgetFaded(time_point now);
    void takeEntry(std::uint32_t from, const told_load &entry, time_point now);
    [[nodiscard]] bool paceIsNews(const endpoint &item, const own_load &state, time_point now) const;

    std::uint32_t m_self;
    std::uint16_t m_start;
    std::uint16_t m_sequence = 0;
    std::size_t m_peers = 0;
    std::size_t m_frameBytes = 0;
    std::uint64_t m_round = 0;
    bool m_heardPace = false;
    load_exchange_counts m_counts;
    std::unordered_map<std::uint32_t, teller> m_tellers;     // by load_message::teller; those that were heard lately
    std::unordered_map<std::uint32_t, remote_load> m_remote; // by loadKey()
    std::unordered_map<std::uint32_t, own_load> m_own;       // by loadKey()
};

} // namespace chicoryrouter
