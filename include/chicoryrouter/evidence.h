// Evidence about versions on trial: what came of answers, per version and route, kept so that copies from many daemons merge.
//
// Every daemon counts its own answers and only its own; each count only grows. A copy that arrives late, twice or out of order is
// merged by taking the larger of each count, so all daemons that heard the same hold the same, whatever the order.
// It travels two ways: each daemon tells all others its own counts directly, many times a second, and gossip carries everybody's, for
// those who cannot hear each other.
#pragma once

#include "chicoryrouter/telling.h"
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
    std::uint64_t answered = 0;                          // answers in all, failed ones included
    std::uint64_t failed = 0;                            // <= answered
    std::array<std::uint32_t, latencyBuckets> latency{}; // to the first token, of answers that are still coming too

    void merge(const evidence_counts &other);                          // the larger of each count
    void add(const evidence_counts &other);                            // sums, over origins
    [[nodiscard]] std::uint64_t latencyCount() const;                  // how many are counted
    [[nodiscard]] std::uint64_t startedCount() const;                  // answers of which something is known
    [[nodiscard]] std::size_t percentileBucket(double fraction) const; // the bucket below or at which `fraction` of the answers lie
    [[nodiscard]] std::uint64_t countAbove(std::size_t bucket) const;  // answers above that bucket
};

struct evidence_key
{
    std::uint64_t move = 0; // moveId(): evidence of one move never counts in another
    std::string version;
    std::string route;

    auto operator<=>(const evidence_key &) const = default;
};

// One daemon's counts for one key, as they travel.
struct evidence_cell
{
    std::uint64_t origin = 0; // hash of the daemon's name and of its start: counts begin at zero at each
    evidence_key key;
    evidence_counts counts;
};

class evidence_store
{
public:
    explicit evidence_store(std::uint64_t self);

    void record(const evidence_key &key, bool failed, duration latency); // own answers; zero latency: none was seen, or recordSpeed() told it
    void recordLatency(const evidence_key &key, duration latency);       // of an answer that has begun; zero: it says nothing
    bool merge(const evidence_cell &cell);                               // true: something was new
    void retainMoves(const std::vector<std::uint64_t> &moves);           // moves that are over

    [[nodiscard]] evidence_counts total(const evidence_key &key) const; // over all origins
    [[nodiscard]] std::vector<std::string> routes(std::uint64_t move) const;
    std::vector<evidence_cell> nextUpdates(std::size_t maxCount);    // for gossip: cells of all origins, changed since they were last told often enough
    std::vector<evidence_cell> nextOwnUpdates(std::size_t maxCount); // for notes: of this daemon only, likewise
    [[nodiscard]] std::size_t size() const { return m_cells.size(); }

private:
    struct cell_state
    {
        evidence_counts counts;
        transmission_state gossip;
        transmission_state datagram; // own cells only
    };

    using cell_item = std::pair<const std::pair<evidence_key, std::uint64_t>, cell_state>;

    std::vector<evidence_cell> nextCells(bool ownOnly, transmission_state cell_state::*transmission, std::uint32_t maxSends, std::size_t maxCount);

    std::uint64_t m_self;
    std::uint64_t m_sendCounter = 0;                                      // of telling
    std::map<std::pair<evidence_key, std::uint64_t>, cell_state> m_cells; // by key and origin
};

} // namespace chicoryrouter
