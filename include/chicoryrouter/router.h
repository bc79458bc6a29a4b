// Chooses the endpoint for one attempt. Reads a routing table and atomic counters; takes no lock and allocates no memory.
//
// The rule, in order:
//   1. Draw the version at random by its share of the traffic. If it has no endpoint with a free slot, use the version with the largest
//      share.
//   2. With a prefix key: choose the highest rendezvous weight among the endpoints whose load is at most `loadBound` times the mean.
//      Requests with equal prompts then reach the engine that has the prompt cached, and a popular prompt spreads over several engines.
//   3. Without one: choose the shortest estimated wait among `sampleSize` random endpoints.
//   4. Prefer this daemon's failure domain. Another domain is used when the local one has no free slot, or when the local endpoint is at
//      least half full and its estimated wait exceeds the remote one's by more than the round trip.
//   5. Prompts that share at least `longPrefixTokens` are ranked over all failure domains: computing such a prefix again in each domain takes
//      longer than the link, and the caches of one domain hold only a part of all prefixes.
// While load control is on, requests with a known prompt length are placed by predicted waits instead of 2 to 5 (wait_placing.h), and the waits
// of the others scale with the pace that endpoints state.
// This strategy is called `prefix_bounded`. Other strategies exist only as baselines for `chicory-bench routing`.
#pragma once

#include "chicoryrouter/random.h"
#include "chicoryrouter/routing_table.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace chicoryrouter {

enum class route_reason : std::uint8_t {
    Prefix,     // highest rendezvous weight for the prompt's leading block
    LeastWait,  // shortest estimated wait in a random sample
    OnlyFree,   // the first endpoint found with a free slot; the sample had none
    OtherDomain // another failure domain: the local one is full, or slower by more than the round trip
};

struct route_query
{
    std::uint64_t prefix = 0;                       // prefixKey() of the prompt; 0: no prefix to reuse
    std::uint32_t prefixTokens = 0;                 // length of that prefix; 0: unknown
    std::uint32_t promptTokens = 0;                 // length of the prompt; 0: unknown
    bool byWait = false;                            // load control is on: endpoints are compared by predicted waits (wait_estimate.h)
    std::array<std::uint64_t, 4> failedEndpoints{}; // keys of endpoints where this request failed; used again only if no other is free
    std::uint64_t excludedEndpoint = 0;             // key of an endpoint that must not be used: it leaves or already has this request; 0: none
    std::string version{};                          // use this version while it has a share of the traffic; empty: draw one by share
};

struct route_choice
{
    const endpoint_ptr *chosen = nullptr; // null: no free slot anywhere. Points into the table passed to chooseEndpoint()
    route_reason reason = route_reason::LeastWait;
    duration predictedWait{};       // until the first token; zero: not predicted, as without load control
    std::uint32_t tokensToRead = 0; // of the prompt there, without what the endpoint is expected to have cached; 0: not predicted
};

struct router_options
{
    double loadBound = 1.25;               // an endpoint above this multiple of the mean load is not chosen by prefix
    std::uint32_t sampleSize = 3;          // endpoints compared when none is chosen by prefix
    std::uint32_t longPrefixTokens = 1000; // shared prompt tokens from which the prefix is worth a round trip to another failure domain
};

// Chooses an endpoint and acquires a slot there. The caller must return the slot with endpoint_load::release().
route_choice chooseEndpoint(const service_table &table, const route_query &query, const router_options &options, seeded_random &random);

bool hasFreeSlot(const endpoint &candidate, const route_query &query); // and may take this request now
std::uint32_t estimatedWaitMicros(const endpoint &candidate);          // expected time to the first token if one more request is sent there
std::string_view toText(route_reason reason);

} // namespace chicoryrouter
