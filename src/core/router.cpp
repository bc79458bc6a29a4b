// Implements the routing rule stated in router.h.
#include "chicoryrouter/router.h"

#include "chicoryrouter/wait_estimate.h"
#include "chicoryrouter/wait_placing.h"

#include <algorithm>
#include <cassert>

namespace chicoryrouter {

namespace {

constexpr std::uint32_t unmeasuredFirstTokenMicros = 200'000; // assumed until an endpoint has answered for the first time
constexpr std::size_t meanLoadSampleSize = 16;                // endpoints sampled to estimate the mean load
constexpr std::uint32_t busyPermille = 500;                   // below this reported load an endpoint is never too busy to be chosen by prefix
constexpr int maxChoiceAttempts = 3;                          // another thread may acquire the last slot after it was seen free
constexpr std::uint32_t minLocalLoadPercent = 50;             // below this load of the local endpoint no remote one is used

constexpr std::uint32_t maxAwaitingForPrefix = 2; // own requests without a first token, up to which a long prefix is not computed elsewhere

using endpoint_lists = std::array<const endpoint_list *, 2>; // lists whose endpoints are ranked together; the second may be null

struct mean_load
{
    std::uint64_t open = 0;
    std::uint64_t slots = 0;
    std::uint64_t reported = 0; // mean reported load of one endpoint, in thousandths
    std::size_t sampled = 0;    // endpoints in the sums
};

std::uint32_t openRequests(const endpoint &candidate)
{
    return candidate.load->inFlight.load(std::memory_order_relaxed);
}

std::uint32_t slotCount(const endpoint &candidate)
{
    return candidate.load->slots.load(std::memory_order_relaxed);
}

bool isExcluded(const endpoint &candidate, const route_query &query)
{
    return candidate.key == query.excludedEndpoint
        || std::find(query.failedEndpoints.begin(), query.failedEndpoints.end(), candidate.key) != query.failedEndpoints.end();
}

std::uint32_t reportedPermille(const endpoint &candidate)
{
    return candidate.load->reportedPermille.load(std::memory_order_relaxed);
}

// Adds a sample spread evenly over the list, so that the cost of a decision hardly grows with the list's length.
void addSample(mean_load &mean, const endpoint_list &list, seeded_random &random)
{
    const std::size_t sampleCount = std::min(list.size(), meanLoadSampleSize);
    const std::size_t stride = std::max<std::size_t>(list.size() / std::max<std::size_t>(sampleCount, 1), 1);
    const std::size_t start = list.empty() ? 0 : uniformBelow(random, list.size());
    for (std::size_t i = 0; i < sampleCount; ++i) {
        const endpoint &candidate = *list[(start + i * stride) % list.size()];
        mean.open += openRequests(candidate);
        mean.slots += slotCount(candidate);
        mean.reported += reportedPermille(candidate);
    }
    mean.sampled += sampleCount;
}

mean_load sampleMeanLoad(const endpoint_lists &lists, seeded_random &random)
{
    mean_load mean;
    for (const endpoint_list *list : lists) {
        if (list != nullptr) {
            addSample(mean, *list, random);
        }
    }
    mean.reported /= std::max<std::size_t>(mean.sampled, 1);
    return mean;
}

bool isLongPrefix(const route_query &query, const router_options &options)
{
    return query.prefix != 0 && query.prefixTokens >= options.longPrefixTokens;
}

// Load is compared as a fraction of each endpoint's slots, so that small endpoints are not mistaken for idle ones. One request above the
// bound is always allowed; otherwise no request could start while all endpoints are idle. The local counters cover this daemon's requests
// only, so the total load that a busy endpoint reports is compared with the mean as well.
//
// A long prefix is worth waiting for: streams that are past their first token hardly delay it, so only the prompts before it count.
bool withinBound(const endpoint &candidate, const mean_load &mean, bool longPrefix, double bound)
{
    const double allowed = bound * static_cast<double>(mean.open + 1) * slotCount(candidate) / static_cast<double>(mean.slots);
    const bool shortQueue = longPrefix && candidate.load->awaitingAnswer.load(std::memory_order_relaxed) < maxAwaitingForPrefix;
    const bool ownFits = shortQueue || openRequests(candidate) < static_cast<std::uint32_t>(allowed) + 1;
    const std::uint32_t reported = reportedPermille(candidate);
    return ownFits && (reported < busyPermille || reported <= bound * static_cast<double>(mean.reported));
}

const endpoint_ptr *selectByPrefix(const endpoint_lists &lists, const route_query &query, const router_options &options, seeded_random &random)
{
    const mean_load mean = sampleMeanLoad(lists, random);
    const bool longPrefix = isLongPrefix(query, options);
    const endpoint_ptr *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const endpoint_list *list : lists) {
        for (std::size_t i = 0; mean.slots != 0 && list != nullptr && i < list->size(); ++i) {
            const std::uint64_t weight = rendezvousWeight(query.prefix, list->key(i));
            const endpoint_ptr &candidate = (*list)[i];
            if (weight > bestWeight && hasFreeSlot(*candidate, query) && withinBound(*candidate, mean, longPrefix, options.loadBound)) {
                best = &candidate;
                bestWeight = weight;
            }
        }
    }
    return best;
}

// With load control, scaled by how slow the endpoint says that it is now.
std::uint64_t comparedWaitMicros(const endpoint &candidate, const route_query &query)
{
    const std::uint32_t pace = query.byWait ? candidate.load->pacePercent.load(std::memory_order_relaxed) : 0;
    const std::uint64_t wait = estimatedWaitMicros(candidate);
    return pace == 0 ? wait : wait * pace / 100;
}

const endpoint_ptr *selectBySample(const endpoint_list &list, const route_query &query, const router_options &options, seeded_random &random)
{
    const endpoint_ptr *best = nullptr;
    std::uint64_t bestWait = 0;
    for (std::uint32_t i = 0; i < options.sampleSize && !list.empty(); ++i) {
        const endpoint_ptr &candidate = list[uniformBelow(random, list.size())];
        if (!hasFreeSlot(*candidate, query)) {
            continue;
        }
        const std::uint64_t wait = comparedWaitMicros(*candidate, query);
        if (best == nullptr || wait < bestWait) {
            best = &candidate;
            bestWait = wait;
        }
    }
    return best;
}

// Starts at a random index, so that daemons scanning at the same time do not all choose the same endpoint.
const endpoint_ptr *selectFirstFree(const endpoint_list &list, const route_query &query, seeded_random &random)
{
    if (list.empty()) {
        return nullptr;
    }
    const std::size_t start = uniformBelow(random, list.size());
    for (std::size_t i = 0; i < list.size(); ++i) {
        const endpoint_ptr &candidate = list[(start + i) % list.size()];
        if (hasFreeSlot(*candidate, query)) {
            return &candidate;
        }
    }
    return nullptr;
}

route_choice chooseFromList(const endpoint_list &list, const route_query &query, const router_options &options, seeded_random &random)
{
    if (query.prefix != 0) {
        if (const endpoint_ptr *best = selectByPrefix({&list, nullptr}, query, options, random)) {
            return {best, route_reason::Prefix};
        }
    }
    if (const endpoint_ptr *best = selectBySample(list, query, options, random)) {
        return {best, route_reason::LeastWait};
    }
    return {selectFirstFree(list, query, random), route_reason::OnlyFree};
}

// True if the remote endpoint is faster even with the round trip to it. A local endpoint with little load is never given up.
bool remoteIsFaster(const endpoint &local, const endpoint &remote, const route_query &query)
{
    const std::uint64_t localWait = comparedWaitMicros(local, query);
    const std::uint64_t remoteWait = comparedWaitMicros(remote, query) + 2 * static_cast<std::uint64_t>(remote.linkDelay.count());
    const bool localIsBusy = std::uint64_t{openRequests(local)} * 100 >= std::uint64_t{slotCount(local)} * minLocalLoadPercent;
    return localIsBusy && remoteWait < localWait;
}

// If no endpoint of the samples has a free slot.
route_choice chooseFirstFree(const version_group &group, const route_query &query, seeded_random &random)
{
    const endpoint_ptr *local = selectFirstFree(group.local, query, random);
    const endpoint_ptr *chosen = local != nullptr ? local : selectFirstFree(group.remote, query, random);
    if (chosen == nullptr) {
        return {};
    }
    const duration wait = predictedWait(**chosen, query.promptTokens) + 2 * (*chosen)->linkDelay;
    return {chosen, local != nullptr ? route_reason::OnlyFree : route_reason::OtherDomain, wait, query.promptTokens};
}

route_choice chooseInGroup(const version_group &group, const route_query &query, const router_options &options, seeded_random &random)
{
    if (placesByWait(query)) {
        const route_choice choice = chooseByWait(group, query, options, random);
        return choice.chosen != nullptr ? choice : chooseFirstFree(group, query, random);
    }
    if (isLongPrefix(query, options)) {
        if (const endpoint_ptr *best = selectByPrefix({&group.local, &group.remote}, query, options, random)) {
            return {best, route_reason::Prefix};
        }
    }
    const route_choice local = chooseFromList(group.local, query, options, random);
    if (local.chosen != nullptr) {
        const endpoint_ptr *remote = selectBySample(group.remote, query, options, random);
        const bool cross = remote != nullptr && remoteIsFaster(**local.chosen, **remote, query);
        return cross ? route_choice{remote, route_reason::OtherDomain} : local;
    }
    const route_choice remote = chooseFromList(group.remote, query, options, random);
    return {remote.chosen, route_reason::OtherDomain};
}

const version_group *drawGroup(const service_table &table, const route_query &query, seeded_random &random)
{
    std::uint64_t draw = uniformBelow(random, totalShare);
    for (const version_group &group : table.groups) {
        const bool pinned = !query.version.empty();
        if (pinned ? group.version == query.version && group.share > 0 : draw < group.share) {
            return &group;
        }
        draw -= group.share;
    }
    return nullptr;
}

// The version to use when the drawn one cannot take the request: the one with the largest share that has endpoints. Falling back to a
// small share would send more requests to a version on trial than its current step allows. If only the version on trial has endpoints
// left, using it is better than refusing the request.
const version_group *fallbackGroup(const service_table &table, const version_group *drawn)
{
    const version_group *largest = nullptr;
    for (const version_group &group : table.groups) {
        const bool hasEndpoints = !group.local.empty() || !group.remote.empty();
        if (group.share > 0 && hasEndpoints && (largest == nullptr || group.share > largest->share)) {
            largest = &group;
        }
    }
    return largest == drawn ? nullptr : largest;
}

route_choice chooseFromTable(const service_table &table, const route_query &query, const router_options &options, seeded_random &random)
{
    const version_group *drawn = drawGroup(table, query, random);
    route_choice choice;
    if (drawn != nullptr) {
        choice = chooseInGroup(*drawn, query, options, random);
    }
    const version_group *fallback = choice.chosen == nullptr ? fallbackGroup(table, drawn) : nullptr;
    return fallback != nullptr ? chooseInGroup(*fallback, query, options, random) : choice;
}

// If no other endpoint is free, endpoints where this request failed before are tried again, because the service may have no others.
route_choice chooseOnce(const service_table &table, const route_query &query, const router_options &options, seeded_random &random)
{
    const route_choice choice = chooseFromTable(table, query, options, random);
    if (choice.chosen != nullptr || query.failedEndpoints.front() == 0) {
        return choice;
    }
    route_query relaxed = query;
    relaxed.failedEndpoints = {};
    return chooseFromTable(table, relaxed, options, random);
}

} // namespace

bool hasFreeSlot(const endpoint &candidate, const route_query &query)
{
    const endpoint_load &load = *candidate.load;
    const bool outOfTokens = load.paced.load(std::memory_order_relaxed) && load.paceTokens.load(std::memory_order_relaxed) == 0;
    return openRequests(candidate) < slotCount(candidate) && !outOfTokens && load.acceptsNew() && !isExcluded(candidate, query);
}

std::uint32_t estimatedWaitMicros(const endpoint &candidate)
{
    const std::uint32_t measured = candidate.load->firstTokenMicros.load(std::memory_order_relaxed);
    const std::uint64_t base = measured != 0 ? measured : unmeasuredFirstTokenMicros;
    const std::uint64_t slots = std::max(slotCount(candidate), 1U);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(base * (slots + openRequests(candidate)) / slots, UINT32_MAX));
}

route_choice chooseEndpoint(const service_table &table, const route_query &query, const router_options &options, seeded_random &random)
{
    assert(options.sampleSize > 0 && "sampleSize must be at least 1");
    for (int attempt = 0; attempt < maxChoiceAttempts; ++attempt) {
        const route_choice choice = chooseOnce(table, query, options, random);
        if (choice.chosen == nullptr || (*choice.chosen)->load->tryAcquire()) {
            return choice;
        }
    }
    return {};
}

std::string_view toText(route_reason reason)
{
    constexpr std::array<std::string_view, 4> names = {"prefix", "least wait", "only free", "other domain"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace chicoryrouter
