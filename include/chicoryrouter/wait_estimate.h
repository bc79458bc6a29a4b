// Predicts how long a request waits at an endpoint for its first token: from the prompt tokens that are to be read before its own, the endpoint's
// pace, and how much slower than usual it is at the moment. Used to choose an endpoint, to leave a failure domain, and to refuse what can't be
// served in time, so that all three agree.
//
// The load it answers: prompts whose lengths differ by a hundred times, so that the number of requests ahead says little about the wait, on
// endpoints of unequal pace that other work slows down for moments.
// Pure functions: no clock, lock or allocation.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/time.h"

#include <cstdint>

namespace chicoryrouter {

struct wait_inputs
{
    std::uint32_t tokensAhead = 0;       // prompt tokens of other requests that the endpoint has still to read
    std::uint32_t tokensToRead = 0;      // of the request itself, without those that the endpoint keeps
    std::uint32_t promptTokensPerMs = 0; // in thousandths; 0: not known, the default applies
    std::uint32_t baseMicros = 0;        // 0: not known, the default applies
    std::uint32_t pacePercent = 0;       // 0: not stated, taken as 100
};

// Prompt tokens that an endpoint has still to read: this daemon's, and of those that other daemons told what wasn't read since.
std::uint32_t expectedTokensAhead(const endpoint_load &load);
duration predictedWait(const wait_inputs &inputs);
duration predictedWait(const endpoint &candidate, std::uint32_t tokensToRead); // with what this daemon knows of the endpoint now

} // namespace chicoryrouter
