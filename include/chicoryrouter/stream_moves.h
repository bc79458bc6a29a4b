// Plans how the open streams of a reclaimed endpoint move to other endpoints: with a transfer of their KV cache, or by recomputing it.
#pragma once

#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/time.h"

#include <string>
#include <vector>

namespace chicoryrouter {

// One open stream, and the method chosen for its move.
struct stream_cost
{
    std::string requestId;
    std::uint32_t tokens = 0;                 // prompt and delivered tokens, which have to be recomputed without a transfer
    move_method method = move_method::Resume; // set by planStreamMoves()
};

// Estimates for the duration of a KV cache transfer.
struct transfer_rates
{
    double bytesPerToken = 160'000.0;                          // size of the KV cache per token
    double bytesPerSecond = 1.2e9;                             // bandwidth of the link between two endpoints
    duration transferOverhead = std::chrono::milliseconds(20); // fixed time per transfer: export, import and their calls
    duration margin = std::chrono::milliseconds(500);          // safety margin before the reclaim deadline
};

std::size_t kvBytes(std::uint32_t tokens, const transfer_rates &rates = {}); // estimated size of the KV cache of so many tokens

// Sets the method of each stream and sorts the list into the order of the moves. Streams that save the most recomputation per second
// of transfer are transferred first, one after the other, as long as the transfers end `rates.margin` before `reclaimDeadline`. Streams
// that do not fit are resumed by recomputation.
void planStreamMoves(std::vector<stream_cost> &streams, time_point reclaimDeadline, time_point now, const transfer_rates &rates = {});

} // namespace chicoryrouter
