// Routing strategies under virtual time: several daemons before one service's endpoints, prompts that share prefixes, load reports that
// lag. The strategies other than the product's own exist only here, to be measured against.
#pragma once

#include <cstdint>
#include <string_view>

namespace chicoryrouter::trials {

enum class strategy {
    Random,        // any endpoint with a free slot
    LeastInFlight, // of this daemon's own open requests
    PowerOfTwo,    // the less loaded of two random ones
    BestOfThree,   // the product's rule without prefixes: least estimated wait of three
    PrefixBounded, // the product's rule
    Blended,       // the paper's score with random choice among the three best
    BlendedPrefix, // the product's prefix rule, falling back to the paper's score
};

std::string_view toText(strategy kind);

struct routing_trial_options
{
    strategy kind = strategy::PrefixBounded;
    double requestsPerSecond = 26.0; // over all daemons
    std::uint32_t daemons = 8;
    std::uint32_t endpoints = 18;
    std::uint32_t batch = 12; // streams an endpoint runs at once
    double reportsLost = 0.0; // part of the load reports that never arrive
    std::uint64_t seed = 1;
};

struct routing_trial_result
{
    double withinTargetPercent = 0.0; // first token within 730 ms
    double computedPerRequest = 0.0;  // prompt tokens computed because their prefix was not cached
    double worstOverMean = 0.0;       // busiest endpoint's served requests over the mean
    double meanFirstTokenSeconds = 0.0;
};

routing_trial_result runRoutingTrial(const routing_trial_options &options);

} // namespace chicoryrouter::trials
