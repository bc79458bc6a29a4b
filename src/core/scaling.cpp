// Computes the endpoints needed from the load, and the orders from those.
#include "chicoryrouter/scaling.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr double targetUtilisation = 0.55;    // part of an endpoint's time spent on prompts; the rest absorbs bursts while new endpoints boot
constexpr double targetSlotUsage = 0.5;       // part of an endpoint's slots
constexpr double shareAfterDomainLoss = 0.75; // part of the endpoints that must remain after one failure domain loses its reclaimable ones
constexpr std::uint32_t minEndpoints = 3;
constexpr duration observeBeforeOrders = 2s;   // time of observation before the first order, and without a further endpoint until the list is complete
constexpr duration maxListTime = 10s;          // under load, orders are given from then on even if the number still rises: another daemon may have ordered more
constexpr duration observeBeforeReducing = 8s; // of load, before the first reduction: after a start callers reconnect gradually, so early load is too low
constexpr duration orderRepeatInterval = 8s;   // longer than the boot time of an endpoint
constexpr duration noCapacityBackoff = 4s;

// With load control:
constexpr duration reduceInterval = 1s;
constexpr duration keepAfterLoss = 4s;   // after a failure domain lacked endpoints, none are stopped anywhere
constexpr std::uint32_t reducePart = 6;  // one in so many endpoints is stopped per interval
constexpr duration shareAveraging = 10s; // time constant
constexpr double shareStep = 0.05;       // smallest change of a failure domain's share that moves endpoints
constexpr double extraForShares = 0.1;   // part of the reclaimable endpoints that may be added so that shares can be uneven
constexpr duration minBootTime = 500ms;
constexpr duration maxBootTime = 30s;

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
    if (load.open > 0.0) {
        m_observedSince = std::min(m_observedSince, now);
        m_measuredEndpoints = std::max(measure(load, endpoints, slots, now), minEndpoints);
    }
    observeList(endpoints, now);
    m_desiredEndpoints = mayReduce(now) ? m_measuredEndpoints : std::max(m_measuredEndpoints, m_foundEndpoints);
}

std::uint32_t scale_planner::measure(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, time_point now)
{
    if (!m_options.loadControl) {
        return m_demand.observe(endpointsFor(load, endpoints, slots), now);
    }
    const demand_need need = m_forecast.observe(load, endpoints, slots, m_bootTime, now);
    m_queued = need.queued;
    return std::max(m_demand.observe(need.steady, now), need.expected); // an expected rise that does not come is not held
}

// Takes the number found from the list once it has settled before any load. A daemon that gives no orders then follows a lasting fall, for
// example when it started while another daemon's replacements ran beside the endpoints that they replaced; it never follows a rise.
void scale_planner::observeList(std::uint32_t endpoints, time_point now)
{
    const std::uint32_t recent = m_recentEndpoints.observe(endpoints, now);
    if (!m_listSettled && endpoints > m_mostEndpoints) {
        m_mostEndpoints = endpoints;
        m_startedAt = std::min(m_startedAt, now);
        m_grewAt = now;
    }
    m_listSettled = m_listSettled || listSettles(now);
    if (m_listSettled && !loadSeen() && !m_hasOrdered) {
        m_foundEndpoints = std::min(m_mostEndpoints, recent);
    }
}

bool scale_planner::listSettles(time_point now) const
{
    if (m_startedAt == noDeadline) {
        return loadSeen() && now >= m_observedSince + observeBeforeOrders; // there is load, and no endpoint
    }
    const bool grows = now < m_grewAt + observeBeforeOrders;
    return !grows || (loadSeen() && now >= m_startedAt + maxListTime);
}

// Endpoints that appear after the first orders, before any load, and in larger number than ordered in their pool, ran at the start too: their
// part of the list came late.
void scale_planner::addLateEndpoints(const std::map<capacity_pool, std::uint32_t> &present)
{
    if (loadSeen() || m_foundEndpoints == 0) {
        return;
    }
    const bool first = m_mostPresent.empty();
    for (const auto &[pool, count] : present) {
        std::uint32_t &most = m_mostPresent[pool];
        const auto ordered = m_ordered.find(pool);
        const std::uint32_t expected = std::max(most, ordered == m_ordered.end() ? 0 : ordered->second.count);
        m_foundEndpoints += first || count <= expected ? 0 : count - expected;
        most = std::max(most, count);
    }
    m_desiredEndpoints = std::max(m_desiredEndpoints, m_foundEndpoints);
}

bool scale_planner::mayReduce(time_point now) const
{
    return loadSeen() && now >= m_observedSince + observeBeforeReducing;
}

// Returns the number of endpoints for each pool, as if every pool had capacity.
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
    std::vector<placement_share> planned = planPlacement(demand, offers).shares;
    weigh(planned, demand.promptEndpoints);
    for (const placement_share &item : planned) {
        const std::uint32_t fits = bounds.maxPerDomain - std::min(bounds.maxPerDomain, inDomain[item.failureDomain]);
        counts[{item.failureDomain, item.cls}] = std::min(item.count, fits);
        inDomain[item.failureDomain] += std::min(item.count, fits);
    }
    // Every failure domain keeps at least one endpoint: when it is cut off from the others, it must serve its callers alone.
    for (const auto &[domain, count] : inDomain) {
        const std::uint32_t least = std::max(bounds.minPerDomain, 1U);
        const bool reclaimable = counts.count({domain, instance_class::Reclaimable}) != 0;
        const instance_class cls = reclaimable ? instance_class::Reclaimable : instance_class::OnDemand;
        counts[{domain, cls}] += least - std::min(least, count);
    }
    return counts;
}

// Where reclaimable endpoints were refused recently, plans only those that run, and replaces the missing ones by on-demand endpoints in the
// same failure domain, up to its upper bound.
void scale_planner::substituteOnDemand(
    std::map<capacity_pool, std::uint32_t> &counts, const std::map<capacity_pool, std::uint32_t> &present, std::uint32_t maxPerDomain, time_point now) const
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
        const std::uint32_t room = maxPerDomain - std::min(maxPerDomain, planned->second + onDemand);
        onDemand += std::min(missing, room);
    }
}

std::vector<scale_order> scale_planner::next(const scale_bounds &bounds,
    const std::vector<placement_offer> &offers,
    const std::vector<running_endpoint> &running,
    time_point now,
    const demand_shares &shares)
{
    std::vector<scale_order> orders;
    const bool loadKnown = loadSeen() && now >= m_observedSince + observeBeforeOrders;
    if (!m_listSettled || (m_foundEndpoints == 0 && !loadKnown)) {
        return orders;
    }
    std::map<capacity_pool, std::uint32_t> present;
    for (const running_endpoint &item : running) {
        present[{item.failureDomain, item.cls}] += item.leaving ? 0 : 1;
    }
    addLateEndpoints(present);
    learnBootTime(present, now);
    observeShares(shares, now);
    std::map<capacity_pool, std::uint32_t> wanted = plan(bounds, offers);
    substituteOnDemand(wanted, present, bounds.maxPerDomain, now);
    std::uint32_t missing = 0;
    std::set<std::string> incomplete; // failure domains with missing endpoints
    std::uint32_t wantedTotal = 0;
    std::uint32_t presentTotal = 0;
    for (const auto &[pool, count] : wanted) {
        if (count > present[pool]) { // refused endpoints do not count: substituteOnDemand() removed them
            missing += count - present[pool];
            incomplete.insert(pool.first);
        }
        wantedTotal += count;
        presentTotal += present[pool];
    }
    // Reduce only by the surplus over the total that is wanted, so that endpoints are not stopped before their replacements in other pools run,
    // and not where replacements are missing: they may be refused, and then the endpoint that was stopped would have to be started again.
    const bool keepsEnough = mayReduce(now) || m_foundEndpoints > 0;
    std::uint32_t surplus = keepsEnough ? presentTotal - std::min(presentTotal, wantedTotal) : 0;
    surplus = slowed(surplus, presentTotal, missing == 0, now);
    for (const auto &[pool, count] : wanted) {
        const std::uint32_t have = present[pool];
        last_order &last = m_ordered[pool];
        const std::uint32_t removed = incomplete.count(pool.first) != 0 ? 0 : std::min(have - std::min(have, count), surplus);
        surplus -= removed;
        const bool cancelsStart
            = last.count > std::max(have, count) && (missing > 0 || !mayReduce(now)); // those endpoints are still starting: keep the last order
        const std::uint32_t asked = cancelsStart ? last.count : std::max(count, have - removed);
        const bool same = last.count == asked && last.repeatAt != time_point{};
        const bool due = asked != have && now >= last.repeatAt;
        const bool neverOrdered = last.repeatAt == time_point{} && asked == have;
        if (neverOrdered || (same && !due)) {
            continue;
        }
        last = {asked, now + orderRepeatInterval};
        m_hasOrdered = true;
        if (asked > have) {
            m_started.try_emplace(pool, started_order{have, now});
        } else {
            m_started.erase(pool);
        }
        orders.push_back({pool.first, pool.second, asked});
    }
    return orders;
}

// ---- Load control ----------------------------------------------------------------------------------------------------------------------

// Limits a reduction under load: a part of the endpoints at a time, none while callers wait, and none while a failure domain lacks endpoints or
// has just got them, because its callers are served by the others.
std::uint32_t scale_planner::slowed(std::uint32_t surplus, std::uint32_t present, bool complete, time_point now)
{
    if (!m_options.loadControl || !loadSeen()) {
        return surplus;
    }
    if (!complete) {
        m_reduceAt = std::max(m_reduceAt, now + keepAfterLoss);
    }
    if (surplus == 0 || m_queued || now < m_reduceAt) {
        return 0;
    }
    m_reduceAt = now + reduceInterval;
    return std::min(surplus, std::max(present / reducePart, 1U));
}

void scale_planner::learnBootTime(const std::map<capacity_pool, std::uint32_t> &present, time_point now)
{
    for (auto order = m_started.begin(); order != m_started.end();) {
        const auto running = present.find(order->first);
        const bool appeared = running != present.end() && running->second > order->second.present;
        if (appeared) {
            const duration took = std::clamp<duration>(now - order->second.at, minBootTime, maxBootTime);
            m_bootTime += (took - m_bootTime) / 2;
        }
        order = appeared ? m_started.erase(order) : std::next(order);
    }
}

void scale_planner::observeShares(const demand_shares &shares, time_point now)
{
    if (shares.empty() || !m_options.loadControl) {
        m_averageShares.clear();
        m_shares.clear();
        m_sharesAt = noDeadline;
        return;
    }
    const double passed = m_sharesAt == noDeadline ? 1.0 : std::chrono::duration<double>(now - m_sharesAt) / std::chrono::duration<double>(shareAveraging);
    const double weight = m_sharesAt == noDeadline ? 1.0 : 1.0 - std::exp(-std::max(passed, 0.0));
    m_sharesAt = now;
    bool moved = m_shares.empty();
    for (const auto &[domain, share] : shares) {
        double &average = m_averageShares[domain];
        average += weight * (share - average);
        const auto used = m_shares.find(domain);
        moved = moved || used == m_shares.end() || std::abs(average - used->second) >= shareStep;
    }
    if (moved) {
        m_shares = m_averageShares;
    }
}

// Moves the planned reclaimable endpoints between failure domains by the demand before each, as far as `remaining` endpoints still run after the
// loss of the largest one. Adds a few for that.
void scale_planner::weigh(std::vector<placement_share> &planned, std::uint32_t remaining) const
{
    std::uint32_t all = 0;
    std::uint32_t reclaimable = 0;
    double shares = 0.0;
    for (const placement_share &item : planned) {
        const auto share = m_shares.find(item.failureDomain);
        all += item.count;
        reclaimable += item.cls == instance_class::Reclaimable ? item.count : 0;
        shares += item.cls == instance_class::Reclaimable && share != m_shares.end() ? share->second : 0.0;
    }
    if (shares <= 0.0) {
        return;
    }
    double largest = 0.0;
    for (const placement_share &item : planned) {
        const auto share = m_shares.find(item.failureDomain);
        largest = std::max(largest, item.cls == instance_class::Reclaimable && share != m_shares.end() ? share->second / shares : 0.0);
    }
    const std::uint32_t onDemand = all - reclaimable;
    const double needed = largest < 1.0 ? (static_cast<double>(remaining) - onDemand) / (1.0 - largest) : 0.0;
    const double total = std::clamp(needed, static_cast<double>(reclaimable), reclaimable * (1.0 + extraForShares));
    const double most = std::max(total + onDemand - remaining, 1.0);
    for (placement_share &item : planned) {
        const auto share = m_shares.find(item.failureDomain);
        if (item.cls == instance_class::Reclaimable) {
            const double part = share == m_shares.end() ? 0.0 : share->second / shares;
            item.count = static_cast<std::uint32_t>(std::min(std::round(part * total), std::floor(most)));
        }
    }
    // What the cap took from the largest goes to the others, the smallest first, so that the sum is kept.
    std::uint32_t sum = 0;
    for (const placement_share &item : planned) {
        sum += item.cls == instance_class::Reclaimable ? item.count : 0;
    }
    for (; sum < static_cast<std::uint32_t>(total); ++sum) {
        placement_share *least = nullptr;
        for (placement_share &item : planned) {
            const bool smaller = item.cls == instance_class::Reclaimable && (least == nullptr || item.count < least->count);
            least = smaller ? &item : least;
        }
        ++least->count;
    }
}

void scale_planner::onAnswer(const scale_order &order, order_result answer, time_point now)
{
    const capacity_pool pool{order.failureDomain, order.cls};
    if (answer == order_result::NoCapacity) {
        m_unavailableUntil[pool] = now + noCapacityBackoff;
        m_ordered.erase(pool);
        m_started.erase(pool);
    } else if (answer == order_result::Unanswered) {
        m_ordered[pool].repeatAt = time_point(duration(1)); // long past: the order is repeated at the next call of next()
    }
}

} // namespace chicoryrouter
