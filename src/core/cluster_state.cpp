// Composes and merges gossip messages and evidence datagrams, and derives routing shares and limits from the merged state.
#include "chicoryrouter/cluster_state.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <cmath>

namespace chicoryrouter {

namespace {

constexpr std::uint32_t loadSends = 3;   // how often one load report is sent
constexpr std::uint32_t demandSends = 3; // how often one demand report is sent
constexpr double demandTolerance = 0.2;  // relative change up to which this daemon's demand isn't sent again
constexpr std::size_t pollersPerEndpoint = 2;
constexpr duration lossInterval = std::chrono::seconds(10); // connections lost to one endpoint within this time count as one failure
constexpr std::size_t maxCellsPerRound = 16;                // limits the bandwidth when many routes have traffic; the rest is sent in the next rounds
constexpr std::uint64_t warmUpAnswers = 8;                  // the first answers of an endpoint are slow with any version, so their latency isn't counted

template<typename Tracked>
transmission_state &transmissionOf(Tracked &item)
{
    return item.transmission;
}

} // namespace

cluster_state::cluster_state(member_info self, cluster_state_options options, std::uint64_t seed)
    : m_options(options)
    , m_self(hashBytes(self.instance))
    , m_documents(options.reader)
    , m_members(std::move(self), options.members, seed)
    , m_evidence(hashBytes(m_members.self().instance + "\n" + std::to_string(m_members.self().incarnation)))
    , m_demandSequence(m_members.self().incarnation)
{
}

// ---- Gossip ----------------------------------------------------------------------------------------------------------------------------

std::vector<probe> cluster_state::onTick(time_point now)
{
    pruneDemands();
    return m_members.onTick(now);
}

std::string cluster_state::compose(const std::string &to, time_point now)
{
    gossip_message message;
    message.from = m_members.self().instance;
    message.to = to;
    message.advert = m_documents.advert();
    message.members = m_members.nextUpdates(m_options.membersPerMessage, to);
    const member_info *receiver = m_members.find(to);
    const bool crossesDomain = receiver != nullptr && receiver->failureDomain != m_members.self().failureDomain && !isSmallDeployment();
    if (!crossesDomain) {
        addLoads(message); // in a large deployment a daemon routes within its own failure domain and doesn't need reports from others
    }
    message.evidence = m_evidence.nextUpdates(m_options.cellsPerMessage);
    for (const auto &[service, mover] : m_moves) {
        if (const std::optional<move_update> update = mover.updateForPeers()) {
            message.moveUpdates.push_back(*update);
        }
    }
    addDemands(message, crossesDomain, now);
    return encodeGossip(message);
}

void cluster_state::addLoads(gossip_message &message)
{
    std::vector<tracked_report *> items;
    for (auto &[id, tracked] : m_loads) {
        items.push_back(&tracked);
    }
    for (const tracked_report *tracked :
        leastRecentlySent(std::move(items), m_options.loadsPerMessage, loadSends, m_sendCounter, transmissionOf<tracked_report>)) {
        message.loads.push_back(tracked->report);
    }
}

void cluster_state::addDemands(gossip_message &message, bool crossesDomain, time_point now)
{
    if (crossesDomain) {
        message.demands.push_back(domainDemand(now));
        return;
    }
    std::vector<tracked_demand *> items;
    for (auto &[origin, tracked] : m_demands) {
        items.push_back(&tracked);
    }
    for (const tracked_demand *tracked :
        leastRecentlySent(std::move(items), m_options.demandsPerMessage, demandSends, m_sendCounter, transmissionOf<tracked_demand>)) {
        message.demands.push_back(tracked->report);
    }
}

// Sums the demand of this daemon's failure domain into one report under the domain's name. The sequence is the time at which this daemon first saw the
// sum's parts as they are: it rises with each change, also when a member dies or begins to count anew, and whichever daemon sends the sum.
demand_report cluster_state::domainDemand(time_point now)
{
    demand_report sum;
    sum.origin = hashBytes(m_members.self().failureDomain);
    std::vector<std::uint64_t> parts; // origins and sequences
    for (const member_info &item : m_members.liveMembers()) {
        const auto tracked = m_demands.find(hashBytes(item.instance));
        if (item.failureDomain != m_members.self().failureDomain || tracked == m_demands.end()) {
            continue;
        }
        parts.insert(parts.end(), {tracked->first, tracked->second.report.sequence});
        for (const account_demand &part : tracked->second.report.accounts) {
            const auto known
                = std::find_if(sum.accounts.begin(), sum.accounts.end(), [&](const account_demand &other) { return other.account == part.account; });
            if (known == sum.accounts.end()) {
                sum.accounts.push_back(part);
            } else {
                known->perSecond += part.perSecond;
            }
        }
    }
    if (parts != m_domainDemandParts) {
        m_domainDemandParts = std::move(parts);
        m_domainDemandSequence = std::max(m_domainDemandSequence + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    }
    sum.sequence = m_domainDemandSequence;
    return sum;
}

void cluster_state::mergeDemand(const demand_report &report)
{
    const auto [entry, inserted] = m_demands.try_emplace(report.origin);
    const bool newer = inserted || report.sequence > entry->second.report.sequence;
    if (report.origin != m_self && newer) {
        entry->second.report = report;
        entry->second.transmission.sendCount = 0;
    }
}

bool cluster_state::isSmallDeployment() const
{
    return liveMembers().size() <= m_options.smallDeploymentLimit;
}

// The origins of demand among which the limits of client accounts are divided: all daemons, or in a large deployment the daemons of this
// failure domain and each other domain as a whole. Sorted, so that all daemons use the same order and their shares add up to the limit.
std::vector<std::uint64_t> cluster_state::demandOrigins() const
{
    std::vector<std::uint64_t> origins;
    const bool small = isSmallDeployment();
    for (const live_member &item : liveMembers()) {
        const bool listedByName = small || item.failureDomain == m_members.self().failureDomain;
        origins.push_back(listedByName ? item.origin : hashBytes(item.failureDomain));
    }
    std::sort(origins.begin(), origins.end());
    origins.erase(std::unique(origins.begin(), origins.end()), origins.end());
    return origins;
}

gossip_result cluster_state::receive(std::string_view bytes, time_point now)
{
    gossip_result result;
    const std::optional<gossip_message> message = decodeGossip(bytes);
    if (!message || message->to != m_members.self().instance || message->from == message->to) {
        return result;
    }
    result.accepted = true;
    result.from = message->from;
    result.hasNewerDocument = m_documents.isNewer(message->advert);
    m_members.onUpdates(message->members, now);
    for (const load_report &report : message->loads) {
        if (onLoadReport(report)) {
            result.loads.push_back(report);
        }
    }
    mergeEvidence(message->evidence, message->moveUpdates);
    for (const demand_report &demand : message->demands) {
        mergeDemand(demand);
    }
    return result;
}

void cluster_state::mergeEvidence(const std::vector<evidence_cell> &cells, const std::vector<move_update> &updates)
{
    for (const evidence_cell &cell : cells) {
        const bool moveIsOpen = std::any_of(m_moves.begin(), m_moves.end(), [&](const auto &item) { return item.second.id() == cell.key.move; });
        if (moveIsOpen) {
            m_evidence.merge(cell);
        }
    }
    for (const move_update &update : updates) {
        for (auto &[service, mover] : m_moves) {
            mover.onPeerUpdate(update);
        }
    }
}

document_envelope cluster_state::documentForPeers() const
{
    return {m_documents.current()->revision, m_documents.current()->text};
}

// ---- Evidence datagrams ----------------------------------------------------------------------------------------------------------------

std::vector<std::string> cluster_state::evidenceDatagrams(std::size_t maxBytes)
{
    std::vector<std::string> datagrams;
    evidence_datagram content;
    for (const auto &[service, mover] : m_moves) {
        if (mover.state() == move_state::Rejected) {
            content.rejections.push_back(*mover.updateForPeers()); // until the outcome is recorded
        }
    }
    std::string bytes = content.rejections.empty() ? std::string() : encodeEvidence(content);
    for (evidence_cell &cell : m_evidence.nextOwnUpdates(maxCellsPerRound)) {
        content.cells.push_back(std::move(cell));
        std::string longer = encodeEvidence(content);
        if (longer.size() > maxBytes) {
            if (!bytes.empty()) {
                datagrams.push_back(std::move(bytes));
            }
            content = {{content.cells.back()}, {}};
            longer = encodeEvidence(content);
        }
        bytes = std::move(longer);
    }
    if (!bytes.empty()) {
        datagrams.push_back(std::move(bytes));
    }
    // Content too large for one datagram is sent by gossip only.
    std::erase_if(datagrams, [maxBytes](const std::string &datagram) { return datagram.size() > maxBytes; });
    return datagrams;
}

void cluster_state::receiveEvidenceDatagram(std::string_view bytes)
{
    if (const std::optional<evidence_datagram> datagram = decodeEvidence(bytes)) {
        mergeEvidence(datagram->cells, datagram->rejections);
    }
}

// ---- Input from this daemon ------------------------------------------------------------------------------------------------------------

offer_result cluster_state::offerDocument(std::uint64_t revision, std::string text)
{
    const offer_result result = m_documents.offer(revision, std::move(text));
    if (result == offer_result::Adopted) {
        syncMoves();
    }
    return result;
}

// Creates the version_mover of each move in a newly adopted document. Those of unchanged moves are kept, so that a change elsewhere in the
// document doesn't reset their state.
void cluster_state::syncMoves()
{
    std::vector<std::uint64_t> open;
    std::map<std::string, version_mover> kept;
    for (const version_move &move : m_documents.current()->content.moves) {
        const auto existing = m_moves.find(move.service);
        const bool same = existing != m_moves.end() && existing->second.id() == moveId(move);
        kept.emplace(move.service, same ? existing->second : version_mover(move));
        if (move.outcome) {
            kept.at(move.service).onOutcome(*move.outcome ? move_outcome::Done : move_outcome::RolledBack);
        }
        open.push_back(moveId(move));
    }
    m_moves = std::move(kept);
    m_evidence.retainMoves(open);
    if (open.empty()) {
        m_warmUpAnswers.clear();
        m_nextLossCountedAt.clear();
    }
}

bool cluster_state::onLoadReport(const load_report &report)
{
    const auto [entry, inserted] = m_loads.try_emplace(report.endpointId);
    if (!inserted && !isNewer(report, entry->second.report)) {
        return false;
    }
    entry->second.report = report;
    entry->second.transmission.sendCount = 0;
    return true;
}

void cluster_state::onOutcome(const attempt_outcome &outcome, time_point now)
{
    const auto found = m_moves.find(outcome.service);
    const bool conclusive = outcome.result != attempt_result::Unused && outcome.result != attempt_result::Abandoned;
    if (found == m_moves.end() || !conclusive) {
        return;
    }
    // When a process or instance dies, all its open requests fail at once and later ones can't connect. That is one failure, not many.
    if (outcome.result == attempt_result::ConnectionLost || outcome.result == attempt_result::Unreachable) {
        time_point &nextCountedAt = m_nextLossCountedAt[outcome.endpointId];
        if (now < nextCountedAt) {
            return;
        }
        nextCountedAt = now + lossInterval;
    }
    const version_mover &mover = found->second;
    const bool onTrial = outcome.version == mover.spec().to;
    // A short move can have fewer answers than endpoints times daemons, so skipping the first answers at each daemon would leave too few:
    // there, only the answers of an endpoint that reports itself as cold are skipped.
    const bool warmingUp = onTrial && (mover.isShort() ? outcome.endpointCold : ++m_warmUpAnswers[outcome.endpointId] <= warmUpAnswers);
    // A move without an old version compares the new version with all other versions together.
    const std::string &countedVersion = onTrial || !mover.spec().from.empty() ? outcome.version : mover.spec().from;
    const evidence_key key{mover.id(), countedVersion, outcome.route};
    const duration firstToken = warmingUp || outcome.firstTokenReported ? duration{} : outcome.firstToken;
    if (outcome.result == attempt_result::FirstTokenReceived) {
        m_evidence.recordLatency(key, firstToken);
    } else {
        m_evidence.record(key, outcome.result != attempt_result::Completed, firstToken);
    }
}

void cluster_state::setDemand(std::vector<account_demand> demand)
{
    // Sent again only after a change by a fifth (demandTolerance), so that shares of a limit don't follow small fluctuations.
    tracked_demand &own = m_demands[m_self];
    const bool known = own.report.accounts.size() == demand.size();
    const bool same = known && std::equal(demand.begin(), demand.end(), own.report.accounts.begin(), [](const account_demand &a, const account_demand &b) {
        return a.account == b.account && std::abs(a.perSecond - b.perSecond) <= demandTolerance * std::max(b.perSecond, 1.0);
    });
    if (!same) {
        own.report = {m_self, ++m_demandSequence, std::move(demand)};
        own.transmission.sendCount = 0;
    }
}

void cluster_state::pruneDemands()
{
    std::vector<std::uint64_t> origins = demandOrigins();
    std::erase_if(m_demands, [&](const auto &item) { return !std::binary_search(origins.begin(), origins.end(), item.first); });
}

void cluster_state::updateMoves(const std::function<move_context(const version_move &)> &contextOf, time_point now)
{
    for (auto &[service, mover] : m_moves) {
        mover.update(m_evidence, contextOf(mover.spec()), now);
    }
}

// ---- Resulting state -------------------------------------------------------------------------------------------------------------------

std::vector<version_share> cluster_state::shares() const
{
    std::vector<version_share> result;
    for (const auto &[service, mover] : m_moves) {
        result.push_back({service, mover.spec().to, mover.share(), mover.endpointCap()});
        result.push_back({service, mover.spec().from, totalShare - mover.share(), 0});
    }
    return result;
}

std::uint32_t cluster_state::accountLimitShare(const client_account &account) const
{
    const std::vector<std::uint64_t> origins = demandOrigins();
    std::vector<double> demand;
    for (const std::uint64_t origin : origins) {
        demand.push_back(demandOf(origin, account.name));
    }
    const auto own = std::find(origins.begin(), origins.end(), m_self) - origins.begin();
    return divideByDemand(account.maxInFlight, demand).at(static_cast<std::size_t>(own));
}

double cluster_state::demandOf(std::uint64_t origin, const std::string &account) const
{
    const auto tracked = m_demands.find(origin);
    if (tracked == m_demands.end()) {
        return 0.0;
    }
    const auto &accounts = tracked->second.report.accounts;
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&](const account_demand &part) { return part.account == account; });
    return found == accounts.end() ? 0.0 : found->perSecond;
}

bool cluster_state::pollsEndpoint(std::uint64_t endpointKey, const std::string &failureDomain) const
{
    const bool small = isSmallDeployment();
    if (!small && failureDomain != m_members.self().failureDomain) {
        return false; // in a large deployment, load reports aren't sent to other failure domains
    }
    const std::uint64_t own = rendezvousWeight(endpointKey, m_self);
    std::size_t ahead = 0;
    for (const live_member &item : liveMembers()) {
        const bool competes = small || item.failureDomain == failureDomain;
        ahead += competes && rendezvousWeight(endpointKey, item.origin) > own ? 1 : 0;
    }
    return ahead < pollersPerEndpoint;
}

// Called for every endpoint and message. Copying the members on each call would cost more than all other work of the control strand.
const std::vector<cluster_state::live_member> &cluster_state::liveMembers() const
{
    if (m_liveMembersVersion != m_members.changeCount()) {
        m_liveMembersVersion = m_members.changeCount();
        m_liveMembers.clear();
        for (const member_info &item : m_members.liveMembers()) {
            m_liveMembers.push_back({hashBytes(item.instance), item.failureDomain});
        }
    }
    return m_liveMembers;
}

} // namespace chicoryrouter
