// Which of an endpoint's open streams are moved with their KV cache when it is reclaimed, and which are computed again elsewhere.
#pragma once

#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/time.h"

#include <string>
#include <vector>

namespace chicoryrouter {

struct stream_cost
{
    std::string requestId;
    std::uint32_t tokens = 0;                 // prompt and delivered: what would be computed again
    move_method method = move_method::Resume; // result
};

struct transfer_rates
{
    double bytesPerToken = 160'000.0;                          // KV cache of one token
    double bytesPerSecond = 1.2e9;                             // of the link between two endpoints
    duration transferOverhead = std::chrono::milliseconds(20); // export, import and the calls for them
    duration margin = std::chrono::milliseconds(500);          // kept free before the deadline
};

// Sets each stream's method and sorts the list into the order of the moves: most recomputation saved per second of transfer first,
// as long as transfers, one after the other, are over before `leaveBy`.
void planStreamMoves(std::vector<stream_cost> &streams, time_point reclaimDeadline, time_point now, const transfer_rates &rates = {});

} // namespace chicoryrouter
