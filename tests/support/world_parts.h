// What a world is made of, shared by its source files: an entry instance's core, a request's live state, and the delays.
#pragma once

#include "support/world.h"

#include "chicoryrouter/hash.h"

namespace chicoryrouter::test {

using namespace std::chrono_literals;

inline constexpr duration linkDelay = 1ms;
inline constexpr duration listLag = 200ms;
inline constexpr duration reportInterval = 1s;
inline constexpr duration tickInterval = 50ms;
inline constexpr duration deathNoticedAfter = 3s;
inline constexpr duration noWorkAfterNotice = 3s; // later than this after a notice nothing new may arrive
inline constexpr duration plainAnswer = 5ms;
inline constexpr int slowFactor = 20;

struct world::node
{
    node(const std::string &nodeDomain, const std::string &nodeName)
        : domain(nodeDomain)
        , name(nodeName)
        , endpoints(nodeDomain, hashBytes(nodeName))
    {
    }

    std::string domain;
    std::string name;
    bool dead = false;
    fleet endpoints;
    dispatcher slots;
    std::map<std::string, retry_budget> budgets;
    std::map<std::uint64_t, std::shared_ptr<live_request>> waiting;
    std::uint64_t tickets = 0;
};

struct world::live_request
{
    world_request *outside = nullptr;
    std::size_t node = 0;
    std::unique_ptr<request_machine> machine;
    std::unique_ptr<claim_machine> claim;
    std::string service;
    std::uint32_t copied = 0;                  // tokens the copy's holder knows
    std::map<std::uint32_t, std::string> open; // attempt -> endpoint
    std::map<std::uint32_t, std::string> at;   // every attempt's endpoint
    std::uint64_t timers = 0;
    bool abandoned = false; // its node died
    bool claimWon = false;
};

} // namespace chicoryrouter::test
