// Callers: each a thread of its own that asks one router after the other and keeps its connections until they are gone.
#pragma once

#include "soak/ledger.h"
#include "soak/stage.h"

namespace chicoryrouter::soak {

// Calls until `stopping`, and tells the ledger what came of each call.
void callOn(stage &all, ledger &seen, const std::atomic<bool> &stopping, std::uint64_t seed, std::size_t self);

// Whether a router serves a lookup before long.
bool serves(stage &all, std::size_t which);

} // namespace chicoryrouter::soak
