// Chooses the endpoint for one attempt. Pure: reads a table and atomic counters, takes no lock, allocates nothing.
//
// The rule, in order:
//   1. Draw the version by its share (an excluded or empty version falls back to one that can take the request).
//   2. With a prefix key: the highest rendezvous weight among the endpoints whose load is within `loadBound` of the mean,
//      so that equal prompts meet the engine that has them cached, and a popular prompt spreads.
//   3. Without one: the least estimated wait among `sampleSize` random endpoints.
//   4. In the own failure domain first. Another one is used when the own has no free slot, or when its estimated wait is longer
//      than the other's by more than the link costs.
// A strategy other than `prefix_bounded` exists only to be measured against (see chicory-bench routing).
#pragma once

#include "chicoryrouter/random.h"
#include "chicoryrouter/routing_table.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace chicoryrouter {

enum class route_reason : std::uint8_t {
    Prefix,     // rendezvous on the prompt's leading block
    LeastWait,  // best of a few by estimated wait
    OnlyFree,   // the only one found with a free slot
    OtherDomain // crossed the link: own domain full or slower by more than the link
};

struct route_query
{
    std::uint64_t prefix = 0;                       // prefixKey() of the prompt; 0: no prefix to reuse
    std::array<std::uint64_t, 4> failedEndpoints{}; // keys of endpoints this request failed at; used again only when nothing else is free
    std::uint64_t excludedEndpoint = 0;             // key of an endpoint never to use: it is leaving, or already has this request; 0: none
    std::string version{};                          // stay on this version while it has a share; empty: draw by share
};

struct route_choice
{
    const endpoint_ptr *chosen = nullptr; // null: no free slot anywhere. Points into the table that was read
    route_reason reason = route_reason::LeastWait;
};

struct router_options
{
    double loadBound = 1.25;      // an endpoint over this multiple of the mean load gets no prefix traffic
    std::uint32_t sampleSize = 3; // endpoints compared when there is no prefix
};

// Takes a slot at the chosen endpoint; the caller gives it back with endpoint_load::giveBack().
route_choice chooseEndpoint(const service_table &table, const route_query &query, const router_options &options, seeded_random &random);

std::uint32_t estimatedWaitMicros(const endpoint &candidate); // expected time to the first token if one more request is sent there
std::string_view toText(route_reason reason);

} // namespace chicoryrouter
