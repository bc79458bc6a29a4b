// Counts of answers, failures and latencies per version and route during a version move, mergeable across daemons (a grow-only CRDT).
//
// Every daemon counts only its own answers, and each count only grows. Merging takes the larger of each count, so copies may arrive late,
// twice or out of order: all daemons that received the same copies hold the same counts.
// Counts are sent in two ways: each daemon sends its own to all others directly, many times a second, and gossip carries the counts of all
// daemons, for daemons that can't reach each other directly.
#pragma once

#include "chicoryrouter/send_order.h"
#include "chicoryrouter/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryrouter {

// Latencies are counted in buckets whose bounds grow by a quarter of an octave (19%), from 1 ms to 65 s.
inline constexpr std::size_t latencyBuckets = 64;
std::size_t latencyBucket(duration span);

struct evidence_counts
{
    std::uint64_t answered = 0;                          // completed answers, including failed ones
    std::uint64_t failed = 0;                            // <= answered
    std::array<std::uint32_t, latencyBuckets> latency{}; // time to the first token, also of answers that are still streaming

    void merge(const evidence_counts &other);                          // takes the larger of each count
    void add(const evidence_counts &other);                            // adds the counts of another origin
    [[nodiscard]] std::uint64_t latencyCount() const;                  // number of latencies counted
    [[nodiscard]] std::uint64_t startedCount() const;                  // answers that failed, completed or sent their first token
    [[nodiscard]] std::size_t percentileBucket(double fraction) const; // the lowest bucket at or below which `fraction` of the latencies lie
    [[nodiscard]] std::uint64_t countAbove(std::size_t bucket) const;  // latencies above that bucket
};

struct evidence_key
{
    std::uint64_t move = 0; // moveId(), so that evidence of one move never counts in another
    std::string version;
    std::string route;

    auto operator<=>(const evidence_key &) const = default;
};

// One daemon's counts for one key, as sent to other daemons.
struct evidence_cell
{
    std::uint64_t origin = 0; // hash of the daemon's name and incarnation, because counts start at zero after a restart
    evidence_key key;
    evidence_counts counts;
};

class evidence_store
{
public:
    explicit evidence_store(std::uint64_t self);

    void record(const evidence_key &key, bool failed, duration latency); // an answer to this daemon; latency zero: unknown, or already counted
    void recordLatency(const evidence_key &key, duration latency);       // time to the first token of an answer still streaming; zero is ignored
    bool merge(const evidence_cell &cell);                               // takes the counts of another daemon; true: some count grew
    void retainMoves(const std::vector<std::uint64_t> &moves);           // drops the evidence of all other moves

    [[nodiscard]] evidence_counts total(const evidence_key &key) const; // sum over all origins
    [[nodiscard]] std::vector<std::string> routes(std::uint64_t move) const;
    std::vector<evidence_cell> nextUpdates(std::size_t maxCount);    // for gossip: cells of all origins that are due to be sent
    std::vector<evidence_cell> nextOwnUpdates(std::size_t maxCount); // for datagrams: the same, but this daemon's cells only
    [[nodiscard]] std::size_t size() const { return m_cells.size(); }

private:
    struct cell_state
    {
        evidence_counts counts;
        transmission_state gossip;
        transmission_state datagram; // used for this daemon's cells only
    };

    using cell_item = std::pair<const std::pair<evidence_key, std::uint64_t>, cell_state>;

    std::vector<evidence_cell> nextCells(bool ownOnly, transmission_state cell_state::*transmission, std::uint32_t maxSends, std::size_t maxCount);

    std::uint64_t m_self;
    std::uint64_t m_sendCounter = 0;                                      // for leastRecentlySent()
    std::map<std::pair<evidence_key, std::uint64_t>, cell_state> m_cells; // by key and origin
};

} // namespace chicoryrouter
