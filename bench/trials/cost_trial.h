// A day of one service under virtual time, minute by minute: demand that rises and falls, prices by failure domain and class, waves of
// reclaims, refused starts, slow loads. Tells what a way of placing costs and how much prompt work it could not bear.
#pragma once

#include "chicoryrouter/placement.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter::trials {

enum class placing {
    Planner,      // the product's plan
    AllOnDemand,  // as many as needed, on demand, in the cheapest domain
    CheapestOnly, // as many as needed, reclaimable, in the cheapest domain
    Oracle,       // knows the demand and the reclaims ahead: the least that bears everything
};

std::string_view toText(placing kind);

struct cost_sizes
{
    std::string name;
    std::vector<placement_offer> offers;
    std::uint32_t concurrency = 12;  // of one endpoint
    double mostOpenRequests = 150.0; // at the day's peak
    double promptPart = 0.7;
    double tokensPerRequestSecond = 33.0; // one open request's stream
    std::uint32_t most = 60;
};

cost_sizes aspenCosts();
cost_sizes tablesCosts();

struct cost_result
{
    double cost = 0.0; // of the day
    double perMillionTokens = 0.0;
    double promptMissedPercent = 0.0; // of the prompt work, that had no place
    double allMissedPercent = 0.0;    // of all work, in the minute it came; long work waits
    std::uint32_t starts = 0;
};

cost_result runCostTrial(const cost_sizes &sizes, placing kind, std::uint64_t seed);

} // namespace chicoryrouter::trials
