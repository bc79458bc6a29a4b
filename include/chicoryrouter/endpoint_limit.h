// How much an endpoint bears, and this daemon's part of it.
//
// The total is a pure function of one load report, so every daemon that holds the same report computes the same total with no message.
// The part is a pure function of the total and the list of members, so the parts never sum up to more than the total:
// whole slots, `total / n` each, and one more for the first `total % n` members by rendezvous weight.
// Bound when views differ: with one view of n members and another with one member more, the parts sum up to at most
// total + ceil(total / (n + 1)), the newcomer's own part.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryrouter {

// What an endpoint says of itself. Travels in gossip; the one with the higher (epoch, sequence) wins.
struct load_report
{
    std::string endpointId;
    std::uint64_t epoch = 0;     // changes whenever the model was loaded anew; higher is newer
    std::uint64_t sequence = 0;  // counts the endpoint's reports within its epoch
    std::uint64_t completed = 0; // requests completed in this epoch: the warmth
    std::uint32_t running = 0;   // requests in its batch
    std::uint32_t queued = 0;    // requests waiting before its batch: above zero means more was sent than it bears
};

bool isNewer(const load_report &candidate, const load_report &current);

// Requests the endpoint bears now. Starts at initialConcurrency, doubles each time the endpoint has completed twice its present
// limit, ends at maxConcurrency. `coldSince` is the completed count at which it was last found cold.
std::uint32_t warmLimit(const version_spec &version, const load_report &report, std::uint64_t completedAtCold);

// The limit in force: warmLimit(), but never more than what ran while others had to queue.
std::uint32_t endpointLimit(const version_spec &version, const load_report &report, std::uint64_t completedAtCold);

// This member's part of `total` slots. `members` holds the hash of each live entry instance that shares the endpoint, in any order
// and without repetition; `self` must be among them, otherwise the part is zero.
std::uint32_t slotShare(std::uint32_t total, std::uint64_t endpointKey, const std::vector<std::uint64_t> &members, std::uint64_t self);

// Divides `total` by observed demand: whole slots by largest remainder, and one for everyone first when there are enough.
// Equal demand, or none at all, gives equal parts. The result sums up to `total` exactly.
std::vector<std::uint32_t> divideByDemand(std::uint32_t total, const std::vector<double> &demand);

// Notices a warm endpoint that turned cold without warning: several answers in a row far slower than it used to be.
class cold_detector
{
public:
    // One observed time to the first token. Returns true once when the endpoint is found cold; `usual` is the service's usual time.
    bool observe(duration firstToken, duration usual);

private:
    std::uint32_t m_slowInRow = 0;
    bool m_cold = false; // set at detection, cleared by the first answer in the usual range
};

} // namespace chicoryrouter
