// Computes predicted waits.
#include "chicoryrouter/wait_estimate.h"

#include <algorithm>

namespace chicoryrouter {

namespace {

constexpr std::uint64_t defaultTokensPerMs = 80'000; // thousandths of prompt tokens a millisecond
constexpr std::uint64_t defaultBaseMicros = 60'000;
constexpr std::uint64_t toldAgeMs
    = 150; // in which tokens told by other daemons were read. Without it they would all leave an endpoint at once, and come back at once

} // namespace

duration predictedWait(const wait_inputs &inputs)
{
    const std::uint64_t perMs = inputs.promptTokensPerMs != 0 ? inputs.promptTokensPerMs : defaultTokensPerMs;
    const std::uint64_t base = inputs.baseMicros != 0 ? inputs.baseMicros : defaultBaseMicros;
    const std::uint64_t pace = inputs.pacePercent != 0 ? inputs.pacePercent : 100;
    const std::uint64_t tokens = std::uint64_t{inputs.tokensAhead} + inputs.tokensToRead;
    const std::uint64_t reading = tokens * 1'000'000 / perMs; // microseconds
    return duration(static_cast<std::int64_t>((base + reading) * pace / 100));
}

std::uint32_t expectedTokensAhead(const endpoint_load &load)
{
    const std::uint32_t learned = load.promptTokensPerMs.load(std::memory_order_relaxed);
    const std::uint64_t readSinceTold = (learned != 0 ? learned : defaultTokensPerMs) * toldAgeMs / 1000;
    const std::uint64_t told = load.remotePromptTokens.load(std::memory_order_relaxed);
    const std::uint64_t unread = told - std::min(told, readSinceTold);
    return load.ownPromptTokens.load(std::memory_order_relaxed) + static_cast<std::uint32_t>(unread);
}

duration predictedWait(const endpoint &candidate, std::uint32_t tokensToRead)
{
    const endpoint_load &load = *candidate.load;
    wait_inputs inputs;
    inputs.tokensAhead = expectedTokensAhead(load);
    inputs.tokensToRead = tokensToRead;
    inputs.promptTokensPerMs = load.promptTokensPerMs.load(std::memory_order_relaxed);
    inputs.baseMicros = load.baseMicros.load(std::memory_order_relaxed);
    inputs.pacePercent = load.pacePercent.load(std::memory_order_relaxed);
    return predictedWait(inputs);
}

} // namespace chicoryrouter
