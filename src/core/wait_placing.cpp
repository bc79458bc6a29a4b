// Placing by predicted waits: the rule stated in wait_placing.h.
#include "chicoryrouter/wait_placing.h"

#include "chicoryrouter/wait_estimate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t rankedCount = 6;        // endpoints with the highest plain weights, among which pace decides
constexpr std::uint32_t readAgainFactor = 20; // cost of prefix tokens read again, in tokens: they delay others, and displace cached ones
constexpr std::uint32_t localSampleSize = 4;
constexpr std::uint32_t remoteSampleSize = 2;
constexpr duration leaveDomainMargin = 20ms;          // by which another failure domain must be faster, besides the round trip
constexpr duration lastSlotCharge = 60ms;             // cost of taking the last free slot; with n free ones, an nth of it
constexpr std::uint32_t unstatedPrefixTokens = 200;   // length of a prefix whose length is unknown
constexpr std::uint32_t tokensPerMsOfWeightOne = 100; // pace whose endpoints have weight one in the ranking of prefixes
constexpr double weightStep = 1.4;                    // weights are powers of it, so that daemons whose learned paces differ a little agree

// Candidates for a prefix, by falling rendezvous weight.
struct prefix_owners
{
    std::array<const endpoint_ptr *, rankedCount> items{};
    std::array<std::uint64_t, rankedCount> weights{};
    std::size_t count = 0;
};

// The best candidate so far.
struct best_candidate
{
    route_choice choice;
    duration cost = duration::max();
};

std::uint32_t reusablePrefixTokens(const route_query &query)
{
    if (query.prefix == 0) {
        return 0;
    }
    return std::min(query.prefixTokens != 0 ? query.prefixTokens : unstatedPrefixTokens, query.promptTokens);
}

// Inserts into the sorted candidates if the weight is among the highest.
void insertOwner(prefix_owners &owners, const endpoint_ptr &candidate, std::uint64_t weight)
{
    std::size_t at = owners.count < rankedCount ? owners.count++ : rankedCount - 1;
    for (; at > 0 && owners.weights[at - 1] < weight; --at) {
        owners.items[at] = owners.items[at - 1];
        owners.weights[at] = owners.weights[at - 1];
    }
    owners.items[at] = &candidate;
    owners.weights[at] = weight;
}

void rankOwners(prefix_owners &owners, const endpoint_list &list, std::uint64_t prefix)
{
    std::uint64_t lowest = owners.weights.back(); // zero while there are fewer
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::uint64_t weight = rendezvousWeight(prefix, list.key(i));
        if (weight > lowest) {
            insertOwner(owners, list[i], weight);
            lowest = owners.weights.back();
        }
    }
}

double weightOf(const endpoint &candidate)
{
    const std::uint32_t perMs = candidate.load->promptTokensPerMs.load(std::memory_order_relaxed);
    if (perMs == 0) {
        return 1.0;
    }
    const double pace = static_cast<double>(perMs) / (1000.0 * tokensPerMsOfWeightOne);
    return std::pow(weightStep, std::round(std::log(pace) / std::log(weightStep)));
}

// Weighted rendezvous among the highest plain weights: an endpoint that reads twice as fast is first for twice as many prefixes. Only the few
// highest are weighted, because a logarithm for each of a thousand endpoints takes too long.
void weighByPace(prefix_owners &owners)
{
    for (std::size_t i = 0; i < owners.count; ++i) {
        const double uniform = (static_cast<double>(owners.weights[i] >> 11U) + 0.5) * 0x1.0p-53;
        const double score = weightOf(**owners.items[i]) / -std::log(uniform);
        owners.weights[i] = static_cast<std::uint64_t>(std::min(score, 1e15) * 1000.0);
    }
    for (std::size_t i = 1; i < owners.count; ++i) {
        for (std::size_t at = i; at > 0 && owners.weights[at - 1] < owners.weights[at]; --at) {
            std::swap(owners.weights[at - 1], owners.weights[at]);
            std::swap(owners.items[at - 1], owners.items[at]);
        }
    }
}

duration slotCharge(const endpoint &candidate)
{
    const std::uint32_t open = candidate.load->inFlight.load(std::memory_order_relaxed);
    const std::uint32_t slots = candidate.load->slots.load(std::memory_order_relaxed);
    return lastSlotCharge / std::max<std::int64_t>(std::int64_t{slots} - open, 1);
}

// `keptTokens`: of the prompt, expected in the endpoint's cache. `extra`: costs besides those of the wait itself.
void consider(best_candidate &best, const endpoint_ptr &candidate, const route_query &query, std::uint32_t keptTokens, duration extra, route_reason reason)
{
    if (!hasFreeSlot(*candidate, query)) {
        return;
    }
    const std::uint32_t tokensToRead = query.promptTokens - keptTokens;
    const std::uint32_t tokensReadAgain = reusablePrefixTokens(query) - keptTokens;
    const duration wait = predictedWait(*candidate, tokensToRead) + 2 * candidate->linkDelay;
    const duration cost
        = predictedWait(*candidate, tokensToRead + readAgainFactor * tokensReadAgain) + 2 * candidate->linkDelay + extra + slotCharge(*candidate);
    if (cost < best.cost) {
        best.choice = {&candidate, reason, wait, tokensToRead};
        best.cost = cost;
    }
}

void considerOwners(best_candidate &best, const version_group &group, const route_query &query, const router_options &options)
{
    prefix_owners owners;
    rankOwners(owners, group.local, query.prefix);
    const bool overAllDomains = query.prefixTokens >= options.longPrefixTokens || group.local.empty();
    if (overAllDomains) {
        rankOwners(owners, group.remote, query.prefix);
    }
    weighByPace(owners);
    const std::uint32_t reusable = reusablePrefixTokens(query);
    for (std::size_t i = 0; i < std::min(prefixOwnerCount, owners.count); ++i) {
        consider(best, *owners.items[i], query, reusable >> i, duration{}, route_reason::Prefix);
    }
}

void considerSample(
    best_candidate &best, const endpoint_list &list, std::uint32_t size, const route_query &query, duration extra, route_reason reason, seeded_random &random)
{
    for (std::uint32_t i = 0; i < size && !list.empty(); ++i) {
        consider(best, list[uniformBelow(random, list.size())], query, 0, extra, reason);
    }
}

} // namespace

bool placesByWait(const route_query &query)
{
    return query.byWait && query.promptTokens > 0;
}

route_choice chooseByWait(const version_group &group, const route_query &query, const router_options &options, seeded_random &random)
{
    best_candidate best;
    if (query.prefix != 0) {
        considerOwners(best, group, query, options);
    }
    considerSample(best, group.local, localSampleSize, query, duration{}, route_reason::LeastWait, random);
    const std::uint32_t remoteSize = group.local.empty() ? localSampleSize : remoteSampleSize;
    considerSample(best, group.remote, remoteSize, query, leaveDomainMargin, route_reason::OtherDomain, random);
    return best.choice;
}

} // namespace chicoryrouter
