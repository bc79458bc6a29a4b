// From load to orders.
#include "chicoryrouter/scaling.h"

#include <algorithm>
#include <cmath>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr double targetUtilisation = 0.55;    // of an endpoint's time by prompts; leaves room for a burst as long as new endpoints need to boot
constexpr double targetSlotUsage = 0.5;       // of its slots
constexpr double shareAfterDomainLoss = 0.75; // of the endpoints: must be left after the loss of one failure domain's reclaimable ones
constexpr std::uint32_t minEndpoints = 3;
constexpr duration observeBeforeOrders = 2s;   // load is observed for so long before anything is ordered
constexpr duration observeBeforeReducing = 8s; // callers come back one by one after a start: the first seconds show too little
constexpr duration orderRepeatInterval = 8s;   // boot time and more
constexpr duration noCapacityBackoff = 4s;

} // namespace

std::uint32_t endpointsFor(const service_load &load, std::uint32_t endpoints, std::uint32_t slots)
{
    const double count = std::max(endpoints, 1U);
    const double queue = load.awaitingFirstToken / count;
    const double utilisation = queue / (1.0 + queue);
    const double byPrompts = utilisation * count / targetUtilisation;
    const double bySlots = load.open / (std::max(slots, 1U) * targetSlotUsage);
    return static_cast<std::uint32_t>(std::ceil(std::max(byPrompts, bySlots)));
}

void scale_planner::observe(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, time_point now)
{
    if (load.open <= 0.0) {
        return; // nothing to learn from, as before the first callers come
    }
    m_observedSince = std::min(m_observedSince, now);
    m_desiredEndpoints = std::max(m_demand.observe(endpointsFor(load, endpoints, slots), now), minEndpoints);
}

// What the load asks for were everything to be had.
std::map<scale_planner::capacity_pool, std::uint32_t> scale_planner::plan(const scale_bounds &bounds, const std::vector<placement_offer> &offers) const
{
    std::map<capacity_pool, std::uint32_t> counts;
    std::map<std::string, std::uint32_t> inDomain;
    for (const placement_offer &item : offers) {
        counts[{item.failureDomain, item.cls}] = 0;
        inDomain[item.failureDomain] = 0;
    }
    placement_demand demand;
    demand.endpoints = m_desiredEndpoints;
    demand.promptEndpoints = static_cast<std::uint32_t>(std::ceil(m_desiredEndpoints * shareAfterDomainLoss));
    demand.minEndpoints = bounds.minPerDomain * static_cast<std::uint32_t>(inDomain.size());
    demand.maxEndpoints = bounds.maxPerDomain * static_cast<std::uint32_t>(inDomain.size());
    for (const placement_share &item : planPlacement(demand, offers).shares) {
        const std::uint32_t fits = bounds.maxPerDomain - std::min(bounds.maxPerDomain, inDomain[item.failureDomain]);
        counts[{item.failureDomain, item.cls}] = std::min(item.count, fits);
        inDomain[item.failureDomain] += std::min(item.count, fits);
    }
    // A failure domain that is cut off has to serve its callers with what it has.
    for (const auto &[domain, count] : inDomain) {
        const std::uint32_t least = std::max(bounds.minPerDomain, 1U);
        const bool reclaimable = counts.count({domain, instance_class::Reclaimable}) != 0;
        const instance_class cls = reclaimable ? instance_class::Reclaimable : instance_class::OnDemand;
        counts[{domain, cls}] += least - std::min(least, count);
    }
    return counts;
}

// Where reclaimable ones were refused lately, those that run are kept, and on-demand ones stand in for the others: in the same failure
// domain as far as its bound allows.
void scale_planner::substituteOnDemand(
    std::map<capacity_pool, std::uint32_t> &counts, const std::map<capacity_pool, std::uint32_t> &present, std::uint32_t mostPerDomain, time_point now) const
{
    for (const auto &[pool, until] : m_unavailableUntil) {
        const auto planned = counts.find(pool);
        if (until <= now || planned == counts.end()) {
            continue;
        }
        const auto running = present.find(pool);
        const std::uint32_t have = running == present.end() ? 0 : running->second;
        const std::uint32_t missing = planned->second - std::min(planned->second, have);
        planned->second -= missing;
        std::uint32_t &onDemand = counts[{pool.first, instance_class::OnDemand}];
        const std::uint32_t room = mostPerDomain - std::min(mostPerDomain, planned->second + onDemand);
        onDemand += std::min(missing, room);
    }
}

std::vector<scale_order> scale_planner::next(
    const scale_bounds &bounds, const std::vector<placement_offer> &offers, const std::vector<running_endpoint> &running, time_point now)
{
    std::vector<scale_order> orders;
    if (m_observedSince == noDeadline || now < m_observedSince + observeBeforeOrders) {
        return orders;
    }
    std::map<capacity_pool, std::uint32_t> present;
    for (const running_endpoint &item : running) {
        present[{item.failureDomain, item.cls}] += item.leaving ? 0 : 1;
    }
    std::map<capacity_pool, std::uint32_t> wanted = plan(bounds, offers);
    substituteOnDemand(wanted, present, bounds.maxPerDomain, now);
    std::uint32_t missing = 0;
    std::uint32_t wantedTotal = 0;
    std::uint32_t presentTotal = 0;
    for (const auto &[pool, count] : wanted) {
        missing += count - std::min(count, present[pool]); // what was refused is not waited for
        wantedTotal += count;
        presentTotal += present[pool];
    }
    // Capacity first: only what is over the wanted number in all may go, whichever kind is still to come.
    const bool mayReduce = now >= m_observedSince + observeBeforeReducing;
    std::uint32_t surplus = mayReduce ? presentTotal - std::min(presentTotal, wantedTotal) : 0;
    for (const auto &[pool, count] : wanted) {
        const std::uint32_t have = present[pool];
        last_order &last = m_ordered[pool];
        const std::uint32_t removed = std::min(have - std::min(have, count), surplus);
        surplus -= removed;
        const bool cancelsStart = last.count > std::max(have, count) && (missing > 0 || !mayReduce); // it is on its way: let it come
        const std::uint32_t asked = cancelsStart ? last.count : std::max(count, have - removed);
        const bool same = last.count == asked && last.repeatAt != time_point{};
        const bool due = asked != have && now >= last.repeatAt;
        const bool neverOrdered = last.repeatAt == time_point{} && asked == have;
        if (neverOrdered || (same && !due)) {
            continue;
        }
        last = {asked, now + orderRepeatInterval};
        orders.push_back({pool.first, pool.second, asked});
    }
    return orders;
}

void scale_planner::onAnswer(const scale_order &order, order_result answer, time_point now)
{
    const capacity_pool pool{order.failureDomain, order.cls};
    if (answer == order_result::NoCapacity) {
        m_unavailableUntil[pool] = now + noCapacityBackoff;
        m_ordered.erase(pool);
    } else if (answer == order_result::Unanswered) {
        m_ordered[pool].repeatAt = time_point(duration(1)); // given again at once
    }
}

} // namespace chicoryrouter
