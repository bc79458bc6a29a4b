// How many concurrent requests an endpoint can run, and this daemon's part of that limit.
//
// The total is a pure function of one load report, so daemons with the same report compute the same total without exchanging messages.
// The part is a pure function of the total and the member list, so with equal lists the parts never add up to more than the total: each
// member gets `total / n` slots, and the first `total % n` members by rendezvous weight get one more.
// If lists differ, some daemons seeing n members and others these and one new member, the parts add up to at most
// total + ceil(total / (n + 1)): the excess is at most the new member's part.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryrouter {

// Load as reported by an endpoint. Distributed by gossip; the report with the higher (epoch, sequence) replaces the other.
struct load_report
{
    std::string endpointId;
    std::uint64_t epoch = 0;     // increases whenever the model is loaded again
    std::uint64_t sequence = 0;  // number of the report within its epoch
    std::uint64_t completed = 0; // requests completed in this epoch; measures how far the endpoint has warmed up
    std::uint32_t running = 0;   // requests in the current batch
    std::uint32_t queued = 0;    // requests waiting for a place in the batch; above zero: more were sent than it can run
};

bool isNewer(const load_report &candidate, const load_report &current);

// Slow start: the concurrent requests an endpoint may have while it warms up. Starts at initialConcurrency, doubles each time the endpoint
// has completed twice its present limit, and ends at maxConcurrency. `completedAtCold` is the value of `completed` when it was last found
// cold.
std::uint32_t warmLimit(const version_spec &version, const load_report &report, std::uint64_t completedAtCold);

// The limit that applies: warmLimit(), but if requests are queued at the endpoint, at most the number that it is running, and at least 1.
std::uint32_t endpointLimit(const version_spec &version, const load_report &report, std::uint64_t completedAtCold);

// This member's part of `total` slots. `members` holds the hash of each live entry instance that shares the endpoint, in any order and
// without duplicates. If `self` is not among them, the part is zero.
std::uint32_t slotShare(std::uint32_t total, std::uint64_t endpointKey, const std::vector<std::uint64_t> &members, std::uint64_t self);

// Divides `total` in proportion to observed demand, rounded to whole slots by the largest remainder method. If there are enough slots,
// each member gets one first. Equal demand, or none at all, gives parts that differ by at most one. The parts add up to `total` exactly.
// `demand` must not be empty.
std::vector<std::uint32_t> divideByDemand(std::uint32_t total, const std::vector<double> &demand);

// Detects a warm endpoint that has turned cold without reporting it: several consecutive answers are much slower than usual.
class cold_detector
{
public:
    // Takes one observed time to the first token; `usual` is the service's average. Returns true once, when the endpoint is found cold.
    bool observe(duration firstToken, duration usual);

private:
    std::uint32_t m_slowInRow = 0;
    bool m_cold = false; // set on detection, cleared by the first answer that is not slow
};

} // namespace chicoryrouter
