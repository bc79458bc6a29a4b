// Placement plans and the steps that carry them out.
#include "chicoryrouter/placement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr double headroomFactor = 1.2;
constexpr duration initialBackoff = 30s; // after the first refused start; doubles with each further one
constexpr duration maxBackoff = 10min;
constexpr duration startRetryInterval = 10s;    // after a start without a reply, or while its instance is not listed yet
constexpr duration pendingStartTimeout = 10min; // a start whose instance has not been listed by then is abandoned

std::vector<placement_offer> cheapestFirst(const std::vector<placement_offer> &offers, instance_class cls)
{
    std::vector<placement_offer> result;
    std::copy_if(offers.begin(), offers.end(), std::back_inserter(result), [&](const placement_offer &item) { return item.cls == cls; });
    std::sort(result.begin(), result.end(),
        [](const placement_offer &a, const placement_offer &b) { return a.perHour != b.perHour ? a.perHour < b.perHour : a.failureDomain < b.failureDomain; });
    return result;
}

// Spreads `count` instances evenly over the first `domains` offers; the cheaper ones get the remainder.
void spread(std::uint32_t count, std::size_t domains, const std::vector<placement_offer> &offers, placement_plan &plan)
{
    for (std::size_t i = 0; i < domains; ++i) {
        const auto part = static_cast<std::uint32_t>(count / domains + (i < count % domains ? 1 : 0));
        if (part > 0) {
            plan.shares.push_back({offers[i].failureDomain, offers[i].cls, part});
            plan.perHour += part * offers[i].perHour;
        }
    }
}

std::uint32_t remainingAfterDomainLoss(std::uint32_t reclaimable, std::size_t domains, std::uint32_t onDemand)
{
    const auto largestShare = domains == 0 ? 0 : static_cast<std::uint32_t>((reclaimable + domains - 1) / domains);
    return reclaimable - largestShare + onDemand;
}

// The smallest number of reclaimable instances that, spread over `domains` failure domains beside `onDemand` on-demand instances, carries the
// demand; nullopt when that exceeds `maxEndpoints`.
std::optional<std::uint32_t> reclaimableNeeded(const placement_demand &demand, std::uint32_t needed, std::size_t domains, std::uint32_t onDemand)
{
    std::uint32_t count = needed > onDemand ? needed - onDemand : 0;
    while (count + onDemand <= demand.maxEndpoints) {
        if (remainingAfterDomainLoss(count, domains, onDemand) >= demand.promptEndpoints) {
            return domains == 0 && count > 0 ? std::nullopt : std::optional(count);
        }
        ++count;
    }
    return std::nullopt;
}

placement_plan planIgnoringDomainLoss(std::uint32_t needed, const std::vector<placement_offer> &reclaimable, const std::vector<placement_offer> &onDemand)
{
    placement_plan plan;
    plan.survivesDomainLoss = false;
    const auto &offers = reclaimable.empty() ? onDemand : reclaimable;
    if (!offers.empty()) {
        spread(needed, offers.size(), offers, plan);
    }
    return plan;
}

} // namespace

std::uint32_t placement_plan::total() const
{
    std::uint32_t sum = 0;
    for (const placement_share &item : shares) {
        sum += item.count;
    }
    return sum;
}

placement_plan planPlacement(const placement_demand &demand, const std::vector<placement_offer> &offers)
{
    const std::vector<placement_offer> reclaimable = cheapestFirst(offers, instance_class::Reclaimable);
    const std::vector<placement_offer> onDemand = cheapestFirst(offers, instance_class::OnDemand);
    const std::uint32_t needed = std::clamp(std::max(demand.endpoints, demand.minEndpoints), 0U, demand.maxEndpoints);
    std::optional<placement_plan> best;
    for (std::size_t domains = 0; domains <= reclaimable.size(); ++domains) {
        for (std::uint32_t onDemandCount = 0; onDemandCount <= (onDemand.empty() ? 0 : std::max(needed, demand.promptEndpoints)); ++onDemandCount) {
            const std::optional<std::uint32_t> count = reclaimableNeeded(demand, needed, domains, onDemandCount);
            if (!count) {
                continue;
            }
            placement_plan plan;
            if (domains > 0) {
                spread(*count, domains, reclaimable, plan);
            }
            if (onDemandCount > 0) {
                spread(onDemandCount, std::min<std::size_t>(onDemand.size(), onDemandCount), onDemand, plan);
            }
            // Of equally cheap plans, prefer the one with more shares, which is spread over more failure domains.
            if (!best || plan.perHour < best->perHour - 1e-9 || (plan.perHour < best->perHour + 1e-9 && plan.shares.size() > best->shares.size())) {
                best = std::move(plan);
            }
        }
    }
    return best ? *best : planIgnoringDomainLoss(needed, reclaimable, onDemand);
}

demand_meter::demand_meter(duration fallDelay)
    : m_fallDelay(fallDelay)
{
}

std::uint32_t demand_meter::observe(std::uint32_t endpointsNeeded, time_point now)
{
    while (!m_samples.empty() && m_samples.front().expiresAt <= now) {
        m_samples.pop_front();
    }
    while (!m_samples.empty() && m_samples.back().needed <= endpointsNeeded) {
        m_samples.pop_back();
    }
    m_samples.push_back({now + m_fallDelay, endpointsNeeded});
    return m_samples.front().needed;
}

std::uint32_t endpointsFor(double openRequests, std::uint32_t concurrency)
{
    return static_cast<std::uint32_t>(std::ceil(openRequests * headroomFactor / std::max(concurrency, 1U)));
}

// ---- Records ---------------------------------------------------------------------------------------------------------------------------

std::string startsKey(std::string_view service)
{
    return "starts-" + std::string(service);
}

std::string encodeStarts(const std::vector<start_record> &records)
{
    json list = json::array();
    for (const start_record &item : records) {
        list.push_back({{"token", item.token}, {"failure_domain", item.failureDomain}, {"on_demand", item.cls == instance_class::OnDemand},
            {"version", item.version}, {"decided_at", item.decidedAt.time_since_epoch().count()}});
    }
    return list.dump();
}

std::optional<std::vector<start_record>> decodeStarts(std::string_view text)
{
    try {
        std::vector<start_record> records;
        for (const json &item : json::parse(text)) {
            const auto cls = item.at("on_demand") ? instance_class::OnDemand : instance_class::Reclaimable;
            records.push_back(
                {item.at("token"), item.at("failure_domain"), cls, item.at("version"), time_point(duration(item.at("decided_at").get<std::int64_t>()))});
        }
        return records;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

// ---- Placement controller --------------------------------------------------------------------------------------------------------------

placement_controller::placement_controller(std::string service)
    : m_service(std::move(service))
{
}

void placement_controller::load(std::vector<start_record> records)
{
    m_records = std::move(records);
    m_retryAt.clear();
    m_unrecorded.reset();
}

placement_step placement_controller::next(
    const placement_plan &plan, const std::vector<running_endpoint> &running, const std::string &version, std::uint64_t fencing, time_point now)
{
    // Drop the records of starts whose instances are listed, and of those that timed out.
    std::set<std::string> listed;
    for (const running_endpoint &item : running) {
        listed.insert(item.token);
    }
    std::erase_if(m_records, [&](const start_record &item) { return listed.count(item.token) != 0 || now >= item.decidedAt + pendingStartTimeout; });

    for (const start_record &item : m_records) {
        const bool waitsForRecord = m_unrecorded && m_unrecorded->token == item.token;
        const auto askAgain = m_retryAt.find(item.token);
        if (!waitsForRecord && (askAgain == m_retryAt.end() || askAgain->second <= now)) {
            m_retryAt[item.token] = now + startRetryInterval;
            return {placement_step::kind::Start, item, {}, "start is recorded, but its instance is not listed yet"};
        }
    }
    if (m_unrecorded) {
        return {placement_step::kind::Record, *m_unrecorded, {}, "start is recorded before the instance is requested"};
    }
    std::map<std::pair<std::string, instance_class>, std::int64_t> missing;
    for (const placement_share &item : plan.shares) {
        missing[{item.failureDomain, item.cls}] += item.count;
    }
    for (const running_endpoint &item : running) {
        missing[{item.failureDomain, item.cls}] -= item.leaving ? 0 : 1;
    }
    for (const start_record &item : m_records) {
        --missing[{item.failureDomain, item.cls}];
    }
    bool anyMissing = false;
    for (const auto &[pool, count] : missing) {
        if (count > 0) {
            anyMissing = true;
            if (!isBackingOff(pool.first, pool.second, now)) {
                return startOne({pool.first, pool.second, 1}, version, fencing, now);
            }
        }
    }
    // Stop nothing until all planned instances are listed, so that capacity never drops in between.
    if (anyMissing || !m_records.empty()) {
        return {};
    }
    for (const running_endpoint &item : running) {
        if (!item.leaving && missing[{item.failureDomain, item.cls}] < 0) {
            return {placement_step::kind::Stop, {}, item.id, "more endpoints than planned in " + item.failureDomain};
        }
    }
    return {};
}

placement_step placement_controller::startOne(const placement_share &wanted, const std::string &version, std::uint64_t fencing, time_point now)
{
    start_record record;
    record.token = m_service + "-" + std::to_string(fencing) + "-" + std::to_string(++m_startCount);
    record.failureDomain = wanted.failureDomain;
    record.cls = wanted.cls;
    record.version = version;
    record.decidedAt = now;
    m_records.push_back(record);
    m_unrecorded = record;
    return {placement_step::kind::Record, record, {}, "fewer endpoints than planned in " + wanted.failureDomain};
}

void placement_controller::onRecorded(bool stored)
{
    if (stored) {
        m_unrecorded.reset();
    }
}

void placement_controller::onStarted(const std::string &token, bool accepted, bool answered, time_point now)
{
    const auto found = std::find_if(m_records.begin(), m_records.end(), [&](const start_record &item) { return item.token == token; });
    if (found == m_records.end() || !answered) {
        return;
    }
    refusal &backoff = m_refusals[{found->failureDomain, found->cls}];
    if (accepted) {
        backoff = {};
        return;
    }
    backoff.until = now + std::min(initialBackoff * (1 << std::min(backoff.consecutive, 5U)), maxBackoff);
    ++backoff.consecutive;
    m_records.erase(found);
}

bool placement_controller::isBackingOff(const std::string &failureDomain, instance_class cls, time_point now) const
{
    const auto found = m_refusals.find({failureDomain, cls});
    return found != m_refusals.end() && now < found->second.until;
}

} // namespace chicoryrouter
