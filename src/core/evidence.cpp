// Counts answers, merges the counts of other daemons, and selects the counts to send.
#include "chicoryrouter/evidence.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <set>

namespace chicoryrouter {

namespace {
constexpr std::uint32_t gossipSends = 4;   // how often one value of a cell is sent in gossip messages
constexpr std::uint32_t datagramSends = 3; // the same in datagrams; repeated because datagrams can be lost
constexpr double bucketsPerOctave = 4.0;
constexpr double log2FirstBound = 10.0; // 2^10 us, about 1 ms
} // namespace

std::size_t latencyBucket(duration span)
{
    const double octaves = std::log2(std::max<double>(static_cast<double>(span.count()), 1.0)) - log2FirstBound;
    return static_cast<std::size_t>(std::clamp(octaves * bucketsPerOctave, 0.0, static_cast<double>(latencyBuckets - 1)));
}

void evidence_counts::merge(const evidence_counts &other)
{
    answered = std::max(answered, other.answered);
    failed = std::max(failed, other.failed);
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        latency[i] = std::max(latency[i], other.latency[i]);
    }
}

void evidence_counts::add(const evidence_counts &other)
{
    answered += other.answered;
    failed += other.failed;
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        latency[i] += other.latency[i];
    }
}

std::uint64_t evidence_counts::latencyCount() const
{
    return std::accumulate(latency.begin(), latency.end(), std::uint64_t{0});
}

std::uint64_t evidence_counts::startedCount() const
{
    return std::max(answered, failed + latencyCount());
}

std::size_t evidence_counts::percentileBucket(double fraction) const
{
    const double target = fraction * static_cast<double>(latencyCount());
    double cumulative = 0.0;
    for (std::size_t i = 0; i < latencyBuckets; ++i) {
        cumulative += latency[i];
        if (cumulative >= target) {
            return i;
        }
    }
    return latencyBuckets - 1;
}

std::uint64_t evidence_counts::countAbove(std::size_t bucket) const
{
    return std::accumulate(latency.begin() + static_cast<std::ptrdiff_t>(bucket) + 1, latency.end(), std::uint64_t{0});
}

evidence_store::evidence_store(std::uint64_t self)
    : m_self(self)
{
}

void evidence_store::record(const evidence_key &key, bool failed, duration latency)
{
    cell_state &cell = m_cells[{key, m_self}];
    ++cell.counts.answered;
    cell.counts.failed += failed ? 1 : 0;
    if (!failed && latency > duration{}) {
        ++cell.counts.latency.at(latencyBucket(latency));
    }
    cell.gossip.sendCount = 0;
    cell.datagram.sendCount = 0;
}

void evidence_store::recordLatency(const evidence_key &key, duration latency)
{
    if (latency == duration{}) {
        return;
    }
    cell_state &cell = m_cells[{key, m_self}];
    ++cell.counts.latency.at(latencyBucket(latency));
    cell.gossip.sendCount = 0;
    cell.datagram.sendCount = 0;
}

bool evidence_store::merge(const evidence_cell &cell)
{
    if (cell.origin == m_self) {
        return false; // a copy of this daemon's own counts is never newer than the original
    }
    cell_state &known = m_cells[{cell.key, cell.origin}];
    const evidence_counts before = known.counts;
    known.counts.merge(cell.counts);
    const bool grown = before.answered != known.counts.answered || before.failed != known.counts.failed || before.latency != known.counts.latency;
    known.gossip.sendCount = grown ? 0 : known.gossip.sendCount;
    return grown;
}

void evidence_store::retainMoves(const std::vector<std::uint64_t> &moves)
{
    std::erase_if(m_cells, [&](const auto &item) { return std::find(moves.begin(), moves.end(), item.first.first.move) == moves.end(); });
}

evidence_counts evidence_store::total(const evidence_key &key) const
{
    evidence_counts sum;
    for (auto item = m_cells.lower_bound({key, 0}); item != m_cells.end() && item->first.first == key; ++item) {
        sum.add(item->second.counts);
    }
    return sum;
}

std::vector<std::string> evidence_store::routes(std::uint64_t move) const
{
    std::set<std::string> names;
    for (const auto &[key, cell] : m_cells) {
        if (key.first.move == move) {
            names.insert(key.first.route);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<evidence_cell> evidence_store::nextUpdates(std::size_t maxCount)
{
    return nextCells(false, &cell_state::gossip, gossipSends, maxCount);
}

std::vector<evidence_cell> evidence_store::nextOwnUpdates(std::size_t maxCount)
{
    return nextCells(true, &cell_state::datagram, datagramSends, maxCount);
}

std::vector<evidence_cell> evidence_store::nextCells(bool ownOnly, transmission_state cell_state::*transmission, std::uint32_t maxSends, std::size_t maxCount)
{
    std::vector<cell_item *> items;
    for (cell_item &item : m_cells) {
        if (!ownOnly || item.first.second == m_self) {
            items.push_back(&item);
        }
    }
    const auto transmissionOf = [transmission](cell_item &item) -> transmission_state & {
        return item.second.*transmission;
    };
    std::vector<evidence_cell> result;
    for (const cell_item *item : leastRecentlySent(std::move(items), maxCount, maxSends, m_sendCounter, transmissionOf)) {
        result.push_back({item->first.second, item->first.first, item->second.counts});
    }
    return result;
}

} // namespace chicoryrouter
