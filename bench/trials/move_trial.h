// One version move under virtual time: a cluster of agreements, traffic over several routes, an old version that is well and a new one
// that is good or bad in one of the ways below. Tells what became of it and how many requests met the badness.
#pragma once

#include "trials/cluster.h"

namespace chicoryrouter::trials {

enum class badness {
    None,
    FailsAtOnce,        // every third request fails, from the start
    SlowsByHalf,        // takes half as long again
    FailsUnderLoad,     // a third fails while its endpoints are above half load
    FailsOnOneRoute,    // a third fails, on one route only
    BadAfterTenMinutes, // well for ten minutes, then a third fails
};

std::string_view toText(badness kind);

// The two deployments of the examples, by size.
struct move_sizes
{
    std::string name;
    std::size_t daemons = 8;
    std::size_t domains = 4;
    std::uint32_t endpoints = 18; // of the old version; as many of the new one are ready
    std::uint32_t maxConcurrency = 12;
    double requestsPerSecond = 20.0;
    duration answerTime = std::chrono::seconds(6);
    std::vector<double> routeShares = {0.2, 0.5, 0.3};
};

move_sizes aspenCoulee();
move_sizes tablesArmor();

struct move_trial_options
{
    move_sizes sizes;
    badness kind = badness::None;
    duration window = std::chrono::hours(1); // from start to the time set
    double oldFailureRate = 0.002;           // both versions fail so often when they are well
    double loss = 0.0;
    duration storeDownFrom{}; // after the start; zero span: never
    duration storeDownFor{};
    std::string domainCut;        // cut off for the middle third of the window; empty: none
    bool daemonsReplaced = false; // two daemons are replaced midway
    duration newReadyAfter{};     // the start: no endpoint of the new version can be used before
    duration noteInterval{};      // of evidence told directly; zero span: by gossip only
    std::uint64_t seed = 1;
};

struct move_trial_result
{
    move_outcome verdict = move_outcome::RolledBack;
    bool recorded = false;                // the verdict is in the key-value service
    bool everyoneEnded = false;           // every living daemon holds the move to be over or condemned, at the time set
    std::uint64_t requests = 0;           // of the service, expected within the whole window
    std::uint64_t exposed = 0;            // that met the badness
    std::uint64_t exposedLate = 0;        // sent to the bad version more than 5 s after it was first condemned anywhere
    std::uint64_t exposedPastBound = 0;   // sent to it more than 5 s after 50 answers had met the badness
    std::uint64_t firstExposureToEnd = 0; // milliseconds from the first request that met it to the last
    duration endedAfter{};                // from the start until the verdict was recorded
    std::string reason;
};

move_trial_result runMoveTrial(const move_trial_options &options);

} // namespace chicoryrouter::trials
