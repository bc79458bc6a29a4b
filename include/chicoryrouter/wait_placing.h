// Chooses the endpoint of one attempt by predicted waits (wait_estimate.h): the rule of router.h while load control is on, for requests
// whose prompt length is known.
//
// The load it answers: prompts whose lengths differ by a hundred times on endpoints of unequal pace, placed by many daemons that see the same
// figures, some of them old.
//
// The rule: the least cost among
//   - the `prefixOwnerCount` endpoints with the highest rendezvous weight for the prefix, faster ones weighted higher. The first is expected to
//     have the prefix cached, the second half of it, the third a quarter; so a popular prefix spreads to the same endpoint at all daemons;
//   - a random sample of the own failure domain and a smaller one of the others. Never the best of all: daemons that see the same figures would
//     all choose it.
// Cost: the predicted wait, the round trip, a margin for leaving the failure domain without a prefix to reuse, a charge for prefix tokens that
// are read again because they delay others as well, and a charge that grows as free slots get fewer.
// Takes no lock and allocates no memory; ranks the keys of each list once.
#pragma once

#include "chicoryrouter/router.h"

namespace chicoryrouter {

inline constexpr std::size_t prefixOwnerCount = 3; // endpoints that may be given a prefix before it goes anywhere

[[nodiscard]] bool placesByWait(const route_query &query); // whether this rule applies to the request

// Chooses an endpoint with a free slot in one version's lists; null if there is none in the samples. Doesn't acquire the slot.
route_choice chooseByWait(const version_group &group, const route_query &query, const router_options &options, seeded_random &random);

} // namespace chicoryrouter
