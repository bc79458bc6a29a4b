// Endpoint state: load, outlier detection, pacing of cold endpoints, and this daemon's slots.
#include "chicoryrouter/fleet.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t consecutiveFailuresLimit = 3; // consecutive failed answers before an endpoint is set aside
constexpr double failureRateWeight = 0.15;            // weight of one answer in the moving average
constexpr double outlierMinFailureRate = 0.4;         // below it no outlier: plain services normally fail a few percent of their answers
constexpr double outlierMeanFactor = 2.0;             // multiple of the other endpoints' mean failure rate
constexpr std::size_t setAsideDivisor = 3;            // at most one in this many endpoints of a version is set aside
constexpr duration initialProbeDelay = 5s;
constexpr duration maxProbeDelay = 60s;
constexpr double savedTokensRatio = 0.4; // of the requests per second a cold endpoint accepts; if all daemons could save more tokens than that, they expire
constexpr duration paceTokenLifetime = 400ms;  // see paceTokensExpire()
constexpr duration initialReconnectDelay = 1s; // shorter than for probes: a failed connection costs less than a failed request
constexpr duration maxReconnectDelay = 8s;
constexpr duration sameRegionDelay = 1ms; // assumed one-way network delay to another failure domain
constexpr duration otherRegionDelay = 30ms;
constexpr std::size_t maxDeparted = 1024;       // endpoints that are remembered without being listed
constexpr double reportedHalfLifeSeconds = 2.0; // of a report's weight in the average of reported loads
constexpr std::int64_t averageDivisor = 8;      // a sample has a weight of 1/8 in a moving average

duration movingAverage(duration previous, duration sample)
{
    return previous == duration{} ? sample : previous + (sample - previous) / averageDivisor;
}

} // namespace

fleet::fleet(std::string ownDomain, std::uint64_t self)
    : m_ownDomain(std::move(ownDomain))
    , m_self(self)
    , m_members({self})
{
}

void fleet::setDocument(std::shared_ptr<const revisioned_document> inForce)
{
    m_inForce = std::move(inForce);
    m_dirty = true;
}

void fleet::setMembers(std::vector<std::uint64_t> members)
{
    m_dirty = m_dirty || members != m_members;
    m_members = std::move(members);
}

void fleet::setShares(std::vector<version_share> shares)
{
    m_shares = std::move(shares);
    m_dirty = true;
}

std::vector<reclaim_notice> fleet::onInstanceList(const std::vector<instance_record> &list, time_point now)
{
    std::vector<reclaim_notice> notices;
    std::set<std::string> listed;
    for (const instance_record &record : list) {
        listed.insert(record.id);
        known_endpoint &item = m_endpoints[record.id];
        if (item.info.load == nullptr) {
            item.info.id = record.id;
            item.info.key = hashBytes(record.id);
            item.info.load = std::make_shared<endpoint_load>();
        }
        applyRecord(item, record);
        if (record.leaving && !item.leaving) {
            notices.push_back({record.id, record.leaveBy});
        }
        // An older list may arrive after a reclaim notice, so a list never clears `leaving`.
        if (record.leaving) {
            markLeaving(item);
        }
    }
    for (auto &[id, item] : m_endpoints) {
        item.listed = listed.count(id) != 0;
    }
    forgetUnlisted(now);
    refillPaceTokens(now); // a cold endpoint that is new must be paced before a table with it is published
    m_dirty = true;
    return notices;
}

// Removes the endpoints that are not listed and have no open requests.
void fleet::forgetUnlisted(time_point now)
{
    std::erase_if(m_departed, [now](const auto &entry) { return now >= entry.second.forgetAt; });
    for (auto item = m_endpoints.begin(); item != m_endpoints.end();) {
        const known_endpoint &known = item->second;
        const bool removable = !known.listed && known.info.load->inFlight.load() == 0;
        if (removable && known.saidThatItLeaves && m_departed.size() < maxDeparted) {
            m_departed[item->first] = {known.incarnation, now + departureMemory};
        }
        item = removable ? m_endpoints.erase(item) : std::next(item);
    }
}

void fleet::markLeaving(known_endpoint &item)
{
    item.leaving = true;
    item.info.load->leaving = true;
}

// Whether the entry of an endpoint that had said that it leaves has come back.
bool fleet::hasDeparted(const known_endpoint &item) const
{
    const auto found = m_departed.find(item.info.id);
    return found != m_departed.end() && found->second.incarnation == item.incarnation;
}

bool fleet::markDeparted(known_endpoint &item)
{
    const bool isNew = !item.saidThatItLeaves;
    item.saidThatItLeaves = true;
    markLeaving(item);
    m_dirty = m_dirty || isNew;
    return isNew;
}

std::optional<departure> fleet::onLeavingAnswer(const endpoint &target, time_point now)
{
    const auto found = m_endpoints.find(target.id);
    const bool sameIncarnation = found != m_endpoints.end() && found->second.info.load == target.load;
    if (!sameIncarnation || !markDeparted(found->second)) {
        return std::nullopt;
    }
    return departure{target.id, found->second.incarnation, now};
}

bool fleet::onDeparture(const departure &item, time_point now)
{
    const time_point forgetAt = item.saidAt + departureMemory;
    if (now >= forgetAt) {
        return false;
    }
    const auto found = m_endpoints.find(item.endpointId);
    if (found != m_endpoints.end()) {
        return found->second.incarnation == item.incarnation && markDeparted(found->second);
    }
    if (m_departed.size() < maxDeparted) {
        m_departed[item.endpointId] = {item.incarnation, forgetAt};
    }
    return false;
}

// A restarted endpoint with a known id has lost its open requests and all state, so everything learned about it is reset. A lower incarnation is no
// restart: a list that came back from an older copy names a former one, until the endpoint has written its entry again.
void fleet::applyRecord(known_endpoint &item, const instance_record &record)
{
    if (item.incarnation != 0 && record.incarnation > item.incarnation) {
        endpoint info = item.info;
        info.load = std::make_shared<endpoint_load>();
        item = {};
        item.info = std::move(info);
    }
    item.incarnation = record.incarnation == 0 ? 0 : std::max(item.incarnation, record.incarnation);
    if (hasDeparted(item)) {
        markDeparted(item);
    }
    item.info.service = record.service;
    item.info.version = record.version;
    item.info.failureDomain = record.failureDomain;
    item.info.cls = record.cls;
    item.info.listenAddress = record.listenAddress;
    item.reportedSlots = record.slots;
    item.coldUntil = std::max(item.coldUntil, record.coldUntil);
    item.listed = true;
}

std::vector<reclaim_notice> fleet::onNotice(const std::string &endpointId, time_point leaveBy)
{
    const auto found = m_endpoints.find(endpointId);
    if (found == m_endpoints.end() || found->second.leaving) {
        return {};
    }
    markLeaving(found->second);
    m_dirty = true;
    return {{endpointId, leaveBy}};
}

bool fleet::onLoadReport(const load_report &report, time_point now)
{
    const auto found = m_endpoints.find(report.endpointId);
    if (found == m_endpoints.end()) {
        return false;
    }
    known_endpoint &item = found->second;
    const bool first = item.report.endpointId.empty();
    if (!first && !isNewer(report, item.report)) {
        return false;
    }
    if (report.epoch != item.report.epoch) {
        item.completedAtCold = 0;
        item.coldDetector = {};
    }
    const std::uint32_t before = limitOf(item);
    item.report = report;
    updateReportedLoad(item, now);
    item.reportedAt = now;
    m_dirty = m_dirty || limitOf(item) != before;
    return true;
}

// The weight of a sample grows with the time since the previous one, so a missed report does not distort the average.
void fleet::updateReportedLoad(known_endpoint &item, time_point now)
{
    const version_spec *version = versionOf(item.info);
    if (version == nullptr) {
        return;
    }
    const std::uint32_t capacity = std::max(item.reportedSlots > 0 ? item.reportedSlots : version->maxConcurrency, 1U);
    const double sample = std::min(1.0, static_cast<double>(item.report.running + item.report.queued) / capacity);
    auto &reportedLoad = item.info.load->reportedPermille;
    const bool first = item.reportedAt == time_point{};
    const double elapsed = std::chrono::duration<double>(now - item.reportedAt).count();
    const double weight = first ? 1.0 : 1.0 - std::exp2(-elapsed / reportedHalfLifeSeconds);
    const double previous = reportedLoad.load(std::memory_order_relaxed);
    reportedLoad.store(static_cast<std::uint32_t>(previous + weight * (sample * 1000.0 - previous)), std::memory_order_relaxed);
}

void fleet::observeFirstToken(known_endpoint &item, duration firstToken)
{
    if (firstToken == duration{}) {
        return;
    }
    auto &storedAverage = item.info.load->firstTokenMicros;
    const duration previous(storedAverage.load(std::memory_order_relaxed));
    storedAverage.store(static_cast<std::uint32_t>(std::min<std::int64_t>(movingAverage(previous, firstToken).count(), UINT32_MAX)), std::memory_order_relaxed);
    if (item.coldDetector.observe(firstToken, usualFirstToken(item.info.service))) {
        item.completedAtCold = item.report.completed;
        m_dirty = true;
    }
    duration &usual = m_usualFirstTokens[item.info.service];
    usual = movingAverage(usual, std::min(firstToken, usual == duration{} ? firstToken : usual * 2));
}

// Endpoints without answers of their own get the usual pace of the service.
void fleet::learnPace(known_endpoint &item, const attempt_outcome &outcome)
{
    service_pace &usual = m_usualPaces[item.info.service];
    const pace_sample sample{outcome.firstToken - 2 * linkDelayTo(item.info.failureDomain), outcome.promptTokens, outcome.prefixTokens, outcome.tokensAhead,
        outcome.load->pacePercent};
    if (!usual.learn(item.pace, sample)) {
        return;
    }
    for (auto &[id, other] : m_endpoints) {
        if (other.info.service == item.info.service) {
            const learned_pace learned = usual.paceOf(other.pace);
            other.info.load->promptTokensPerMs.store(learned.promptTokensPerMs, std::memory_order_relaxed);
            other.info.load->baseMicros.store(learned.baseMicros, std::memory_order_relaxed);
        }
    }
}

void fleet::onOutcome(const attempt_outcome &outcome, time_point now)
{
    const auto found = m_endpoints.find(outcome.endpointId);
    const bool isConclusive
        = outcome.result != attempt_result::Unused && outcome.result != attempt_result::Abandoned && outcome.result != attempt_result::FirstTokenReceived;
    if (found == m_endpoints.end()) {
        return;
    }
    known_endpoint &item = found->second;
    const bool answered = isConclusive || outcome.result == attempt_result::FirstTokenReceived;
    if (answered && outcome.load) {
        item.report.running = outcome.load->running + outcome.load->waiting;
        updateReportedLoad(item, now);
        item.reportedAt = now;
        updateSlots(item);
    }
    if (outcome.result == attempt_result::FirstTokenReceived && outcome.load && outcome.promptTokens > 0) { // its load is reported only with load control
        learnPace(item, outcome);
    }
    if (!isConclusive) {
        return;
    }
    if (outcome.result == attempt_result::Unreachable) {
        setAsideUnreachable(item, now);
        return;
    }
    const bool good = outcome.result == attempt_result::Completed;
    item.failureRate += failureRateWeight * ((good ? 0.0 : 1.0) - item.failureRate);
    if (good) {
        m_dirty = m_dirty || item.probing;
        item.failuresInRow = 0;
        item.timesSetAside = 0;
        item.timesUnreachable = 0;
        item.probing = false;
        observeFirstToken(item, outcome.firstToken);
        return;
    }
    ++item.failuresInRow;
    const bool alreadySetAside = item.probeAt != noDeadline;
    if (!alreadySetAside && (item.probing || item.failuresInRow >= consecutiveFailuresLimit || isOutlier(item))) {
        setAsideIfAllowed(item, now);
    }
}

bool fleet::isCold(const std::string &endpointId, time_point now) const
{
    const auto found = m_endpoints.find(endpointId);
    return found != m_endpoints.end() && now < found->second.coldUntil;
}

// Detects an endpoint that fails, or leaves unanswered, a far larger part of its requests than the other endpoints of its service. The
// comparison is relative because under overload all endpoints are late, and setting some aside would put more load on the rest.
bool fleet::isOutlier(const known_endpoint &item) const
{
    double sum = 0.0;
    std::size_t others = 0;
    for (const auto &[id, other] : m_endpoints) {
        if (&other != &item && other.info.service == item.info.service && other.listed && !other.leaving) {
            sum += other.failureRate;
            ++others;
        }
    }
    const double mean = others == 0 ? 1.0 : sum / static_cast<double>(others);
    return item.failureRate > outlierMinFailureRate && item.failureRate > outlierMeanFactor * mean;
}

// Takes the endpoint out of use until its next probe. The delay doubles with each consecutive time, up to `maxDelay`.
void fleet::setAside(known_endpoint &item, std::uint32_t &timesInRow, duration initialDelay, duration maxDelay, time_point now)
{
    const duration wait = std::min(initialDelay * (1 << std::min(timesInRow, 4U)), maxDelay);
    ++timesInRow;
    item.probing = false;
    item.probeAt = now + wait;
    m_dirty = true;
}

// The process is gone or cannot be reached from this daemon. A failed connection is stronger evidence than a failed answer, and sending
// more requests there would not relieve the other endpoints. So one failure sets the endpoint aside for a short time, however many others
// are set aside already. The last usable endpoint of a service is kept because there is no alternative.
void fleet::setAsideUnreachable(known_endpoint &item, time_point now)
{
    const bool hasAlternative = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &other) {
        const known_endpoint &one = other.second;
        return &one != &item && one.info.service == item.info.service && one.listed && !one.leaving && one.probeAt == noDeadline;
    });
    const bool alreadySetAside = item.probeAt != noDeadline;
    if (alreadySetAside || !hasAlternative) {
        return;
    }
    setAside(item, item.timesUnreachable, initialReconnectDelay, maxReconnectDelay, now);
}

void fleet::setAsideIfAllowed(known_endpoint &item, time_point now)
{
    std::size_t totalCount = 0;
    std::size_t setAsideCount = 0;
    for (const auto &[id, other] : m_endpoints) {
        const bool sameVersion = other.info.service == item.info.service && other.info.version == item.info.version;
        totalCount += sameVersion && other.listed && !other.leaving ? 1 : 0;
        setAsideCount += sameVersion && other.probeAt != noDeadline ? 1 : 0;
    }
    if ((setAsideCount + 1) * setAsideDivisor > totalCount) {
        return; // using an endpoint that fails some requests is better than overloading the rest
    }
    setAside(item, item.timesSetAside, initialProbeDelay, maxProbeDelay, now);
}

void fleet::startDueProbes(time_point now)
{
    for (auto &[id, item] : m_endpoints) {
        if (item.probeAt <= now) {
            item.probeAt = noDeadline;
            item.probing = true;
            m_dirty = true;
        }
    }
}

void fleet::updateUse(known_endpoint &item) const
{
    const failure_domain *domain = m_inForce->content.findFailureDomain(item.info.failureDomain);
    if (item.leaving || !item.listed) {
        item.info.use = endpoint_use::Leaving;
    } else if (domain != nullptr && domain->disabled) {
        item.info.use = endpoint_use::DomainOut;
    } else if (versionOf(item.info) == nullptr || domain == nullptr) {
        item.info.use = endpoint_use::UnknownVersion;
    } else if (item.probeAt != noDeadline) {
        item.info.use = endpoint_use::SetAside;
    } else {
        item.info.use = endpoint_use::Usable;
    }
}

const version_spec *fleet::versionOf(const endpoint &info) const
{
    const service *serviceSpec = m_inForce->content.findService(info.service);
    if (serviceSpec == nullptr) {
        return nullptr;
    }
    if (serviceSpec->anyVersion) {
        return m_blockedVersions.count({info.service, info.version}) == 0 ? &serviceSpec->versionDefaults : nullptr;
    }
    const auto found
        = std::find_if(serviceSpec->versions.begin(), serviceSpec->versions.end(), [&](const version_spec &item) { return item.name == info.version; });
    return found == serviceSpec->versions.end() ? nullptr : &*found;
}

std::uint32_t fleet::limitOf(const known_endpoint &item) const
{
    const version_spec *version = versionOf(item.info);
    if (version == nullptr) {
        return 0;
    }
    if (item.probing) {
        return 1;
    }
    return item.reportedSlots > 0 ? item.reportedSlots : endpointLimit(*version, item.report, item.completedAtCold);
}

// Sets this daemon's slots at an endpoint. If the endpoint states its total of open requests in its answers, this daemon also uses the
// slots that other daemons leave free: with equal parts only, slots would stay idle when callers are spread unevenly over the daemons.
// Exceeding the limit this way is harmless: the endpoint refuses excess requests and its refusal proves that it did not start them.
void fleet::updateSlots(const known_endpoint &item) const
{
    const std::uint32_t connections = connectionShare(item);
    const std::uint32_t limit = item.info.use == endpoint_use::Usable ? limitOf(item) : 0;
    std::uint32_t slots = slotShare(limit, item.info.key, m_members, m_self);
    if (item.reportedSlots > 0 && limit > 1) {
        const std::uint32_t ownOpen = item.info.load->inFlight.load(std::memory_order_relaxed);
        const std::uint32_t totalOpen = item.report.running;
        const std::uint32_t otherOpen = totalOpen - std::min(totalOpen, ownOpen);
        slots = std::max({slots, limit - std::min(limit, otherOpen), 1U});
    }
    item.info.load->slots.store(std::min(slots, connections), std::memory_order_relaxed);
}

// Every open request uses one connection, idle connections are reused first, and the endpoint resets connections beyond its limit. So the
// requests of all daemons together must stay within that limit. Each daemon may always open one; otherwise a deployment with more daemons
// than connections could not use the endpoint at all.
std::uint32_t fleet::connectionShare(const known_endpoint &item) const
{
    const service *serviceSpec = m_inForce->content.findService(item.info.service);
    if (serviceSpec == nullptr || serviceSpec->maxConnections == 0) {
        return UINT32_MAX;
    }
    return std::max<std::uint32_t>(serviceSpec->maxConnections / static_cast<std::uint32_t>(daemonCount()), 1);
}

// While an endpoint is cold, all daemons together start no more requests per second there than it accepts. The rate is divided equally;
// daemons that do not respond at the moment count too.
double fleet::pacePerSecond(const known_endpoint &item) const
{
    const service *serviceSpec = m_inForce->content.findService(item.info.service);
    return serviceSpec == nullptr ? 0.0 : serviceSpec->coldRequestsPerSecond / static_cast<double>(daemonCount());
}

// Initial pace credit of this daemon. Credits are staggered by rendezvous rank, so that the daemons' first requests arrive one after the
// other at the rate the endpoint accepts.
double fleet::initialPaceCredit(const known_endpoint &item) const
{
    const std::uint64_t ownWeight = rendezvousWeight(item.info.key, m_self);
    const auto ahead
        = std::count_if(m_members.begin(), m_members.end(), [&](std::uint64_t other) { return rendezvousWeight(item.info.key, other) > ownWeight; });
    return 1.0 - static_cast<double>(ahead) / static_cast<double>(daemonCount());
}

// All daemons could spend their saved pace tokens within the same second. The endpoint copes with a few extra requests, but with many
// daemons there would be too many, so tokens then expire after `paceTokenLifetime`.
bool fleet::paceTokensExpire(const known_endpoint &item) const
{
    const service *serviceSpec = m_inForce->content.findService(item.info.service);
    return serviceSpec != nullptr && static_cast<double>(m_members.size()) > serviceSpec->coldRequestsPerSecond * savedTokensRatio;
}

void fleet::refillPaceTokens(time_point now)
{
    for (auto &[id, item] : m_endpoints) {
        endpoint_load &load = *item.info.load;
        const double rate = pacePerSecond(item);
        const bool cold = now < item.coldUntil && rate > 0.0;
        if (!cold) {
            load.paced = false;
            load.paceTokens = 0;
            continue;
        }
        const bool startsPacing = !load.paced;
        item.paceCredit = startsPacing ? initialPaceCredit(item) : item.paceCredit + rate * std::chrono::duration<double>(now - item.paceUpdatedAt).count();
        item.paceUpdatedAt = now;
        if (paceTokensExpire(item) && now >= item.tokenExpiresAt) {
            load.paceTokens = 0;
        }
        if (item.paceCredit >= 1.0) {
            item.paceCredit -= std::floor(item.paceCredit); // at most one token is saved; unused ones are discarded
            load.paceTokens = 1;
            item.tokenExpiresAt = now + paceTokenLifetime;
        }
        load.paced = true; // set last, so that no request starts with a token left over from an earlier cold period
    }
}

void fleet::endRests(time_point now)
{
    for (auto &[id, item] : m_endpoints) {
        item.info.load->updateRest(now);
    }
}

void fleet::setVersionBlocked(const std::string &service, const std::string &version, bool blocked)
{
    const bool changed = blocked ? m_blockedVersions.insert({service, version}).second : m_blockedVersions.erase({service, version}) > 0;
    m_dirty = m_dirty || changed;
}

duration fleet::usualFirstToken(const std::string &service) const
{
    const auto found = m_usualFirstTokens.find(service);
    return found == m_usualFirstTokens.end() ? duration{} : found->second;
}

duration fleet::linkDelayTo(const std::string &failureDomain) const
{
    if (failureDomain == m_ownDomain) {
        return duration{};
    }
    const failure_domain *own = m_inForce->content.findFailureDomain(m_ownDomain);
    const failure_domain *other = m_inForce->content.findFailureDomain(failureDomain);
    const bool sameRegion = own != nullptr && other != nullptr && own->region == other->region;
    return sameRegion ? sameRegionDelay : otherRegionDelay;
}

std::shared_ptr<const routing_table> fleet::buildTable()
{
    std::vector<endpoint_ptr> endpoints;
    for (auto &[id, item] : m_endpoints) {
        updateUse(item);
        item.info.linkDelay = linkDelayTo(item.info.failureDomain);
        updateSlots(item);
        endpoints.push_back(std::make_shared<endpoint>(item.info));
    }
    m_dirty = false;
    m_tableEndpoints = endpoints;
    return std::make_shared<routing_table>(buildRoutingTable(*m_inForce, m_ownDomain, endpoints, m_shares));
}

std::vector<endpoint_status> fleet::status() const
{
    std::vector<endpoint_status> result;
    result.reserve(m_endpoints.size());
    for (const auto &[id, item] : m_endpoints) {
        result.push_back({std::make_shared<endpoint>(item.info), limitOf(item), item.report});
    }
    return result;
}

} // namespace chicoryrouter
