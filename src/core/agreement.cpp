// One daemon's part in the agreement.
#include "chicoryrouter/agreement.h"

#include "chicoryrouter/hash.h"

#include <algorithm>

namespace chicoryrouter {

namespace {

constexpr std::uint32_t loadTimesTold = 3;
constexpr std::size_t pollersPerEndpoint = 2;
constexpr duration oneLossPer = std::chrono::seconds(10);
constexpr std::uint64_t warmUpAnswers = 8; // first answers of an endpoint on trial: their slowness says nothing about the version

} // namespace

agreement::agreement(member_facts self, agreement_options options, std::uint64_t seed)
    : m_options(options)
    , m_self(hashBytes(self.instance))
    , m_members(std::move(self), options.members, seed)
    , m_evidence(m_self)
{
}

// ---- Gossip ----------------------------------------------------------------------------------------------------------------------------

std::vector<probe> agreement::onTick(time_point now)
{
    pruneDemands();
    return m_members.onTick(now);
}

std::string agreement::compose(const std::string &to, time_point)
{
    gossip_message message;
    message.from = m_members.self().instance;
    message.to = to;
    message.advert = m_documents.advert();
    message.members = m_members.news(m_options.newsPerMessage, to);
    std::vector<held_report *> fresh;
    for (auto &[id, held] : m_loads) {
        if (held.told < loadTimesTold) {
            fresh.push_back(&held);
        }
    }
    std::sort(fresh.begin(), fresh.end(), [](const held_report *a, const held_report *b) { return a->told < b->told; });
    fresh.resize(std::min(fresh.size(), m_options.loadsPerMessage));
    for (held_report *held : fresh) {
        ++held->told;
        message.loads.push_back(held->report);
    }
    message.evidence = m_evidence.news(m_options.cellsPerMessage);
    for (const auto &[service, mover] : m_moves) {
        if (const std::optional<move_mark> mark = mover.mark()) {
            message.marks.push_back(*mark);
        }
    }
    for (const auto &[origin, statement] : m_demands) {
        message.demands.push_back(statement);
    }
    return encodeGossip(message);
}

gossip_result agreement::receive(std::string_view bytes, time_point now)
{
    gossip_result result;
    const std::optional<gossip_message> message = decodeGossip(bytes);
    if (!message || message->to != m_members.self().instance || message->from == message->to) {
        return result;
    }
    result.understood = true;
    result.from = message->from;
    result.hasNewerDocument = m_documents.isNewer(message->advert);
    m_members.onNews(message->members, now);
    for (const load_report &report : message->loads) {
        if (onLoadReport(report)) {
            result.loads.push_back(report);
        }
    }
    for (const evidence_cell &cell : message->evidence) {
        const bool ofOpenMove = std::any_of(m_moves.begin(), m_moves.end(), [&](const auto &item) { return item.second.id() == cell.key.move; });
        if (ofOpenMove) {
            m_evidence.merge(cell);
        }
    }
    for (const move_mark &mark : message->marks) {
        for (auto &[service, mover] : m_moves) {
            mover.onMark(mark);
        }
    }
    for (const demand_statement &statement : message->demands) {
        demand_statement &held = m_demands[statement.origin];
        if (statement.origin != m_self && statement.sequence > held.sequence) {
            held = statement;
        }
    }
    return result;
}

document_envelope agreement::documentForPeers() const
{
    return {m_documents.inForce()->revision, m_documents.inForce()->text};
}

// ---- What this daemon learns itself ----------------------------------------------------------------------------------------------------

adoption agreement::offerDocument(std::uint64_t revision, std::string text)
{
    const adoption result = m_documents.offer(revision, std::move(text));
    if (result == adoption::Adopted) {
        syncMoves();
    }
    return result;
}

// A mover lives as long as its move stands in the document: what it knows is not lost when the document changes elsewhere.
void agreement::syncMoves()
{
    std::vector<std::uint64_t> open;
    std::map<std::string, version_mover> kept;
    for (const version_move &move : m_documents.inForce()->content.moves) {
        const auto held = m_moves.find(move.service);
        const bool same = held != m_moves.end() && held->second.id() == moveId(move);
        kept.emplace(move.service, same ? held->second : version_mover(move));
        open.push_back(moveId(move));
    }
    m_moves = std::move(kept);
    m_evidence.forgetExcept(open);
    if (open.empty()) {
        m_seenWhileCold.clear();
        m_lossCountsFrom.clear();
    }
}

bool agreement::onLoadReport(const load_report &report)
{
    const auto [place, fresh] = m_loads.try_emplace(report.endpointId);
    if (!fresh && !isNewer(report, place->second.report)) {
        return false;
    }
    place->second = {report, 0};
    return true;
}

void agreement::onOutcome(const attempt_outcome &outcome, time_point now)
{
    const auto found = m_moves.find(outcome.service);
    const bool saysSomething = outcome.result != attempt_result::Unused && outcome.result != attempt_result::Left;
    if (found == m_moves.end() || !saysSomething) {
        return;
    }
    // When a process or instance dies, everything open there fails at once: one event, not many.
    if (outcome.result == attempt_result::Lost) {
        time_point &countsFrom = m_lossCountsFrom[outcome.endpointId];
        if (now < countsFrom) {
            return;
        }
        countsFrom = now + oneLossPer;
    }
    const version_mover &mover = found->second;
    const bool onTrial = outcome.version == mover.facts().to;
    const bool warmingUp = onTrial && ++m_seenWhileCold[outcome.endpointId] <= warmUpAnswers;
    const bool failed = outcome.result != attempt_result::Answered;
    m_evidence.record({mover.id(), outcome.version, outcome.route}, failed, warmingUp ? duration{} : outcome.firstToken);
}

void agreement::setDemand(std::vector<account_demand> demand)
{
    m_demands[m_self] = {m_self, ++m_demandSequence, std::move(demand)};
}

void agreement::pruneDemands()
{
    std::vector<std::uint64_t> living;
    for (const member_facts &item : m_members.living()) {
        living.push_back(hashBytes(item.instance));
    }
    std::erase_if(m_demands, [&](const auto &item) { return std::find(living.begin(), living.end(), item.first) == living.end(); });
}

void agreement::updateMoves(const std::function<move_surroundings(const version_move &)> &around, time_point now)
{
    for (auto &[service, mover] : m_moves) {
        mover.update(m_evidence, around(mover.facts()), now);
    }
}

// ---- What follows from it --------------------------------------------------------------------------------------------------------------

std::vector<version_share> agreement::shares() const
{
    std::vector<version_share> result;
    for (const auto &[service, mover] : m_moves) {
        result.push_back({service, mover.facts().to, mover.share(), mover.endpointCap()});
        result.push_back({service, mover.facts().from, wholeShare - mover.share(), 0});
    }
    return result;
}

std::uint32_t agreement::accountPart(const client_account &account) const
{
    // In an order that is the same at every daemon, so that the parts sum up.
    std::vector<std::uint64_t> origins;
    for (const member_facts &item : m_members.living()) {
        origins.push_back(hashBytes(item.instance));
    }
    std::sort(origins.begin(), origins.end());
    std::vector<double> demand;
    for (const std::uint64_t origin : origins) {
        demand.push_back(demandOf(origin, account.name));
    }
    const auto own = std::find(origins.begin(), origins.end(), m_self) - origins.begin();
    return divideByDemand(account.maxInFlight, demand).at(static_cast<std::size_t>(own));
}

double agreement::demandOf(std::uint64_t origin, const std::string &account) const
{
    const auto statement = m_demands.find(origin);
    if (statement == m_demands.end()) {
        return 0.0;
    }
    const auto &accounts = statement->second.accounts;
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&](const account_demand &part) { return part.account == account; });
    return found == accounts.end() ? 0.0 : found->perSecond;
}

bool agreement::pollsEndpoint(std::uint64_t endpointKey) const
{
    const std::uint64_t own = rendezvousWeight(endpointKey, m_self);
    std::size_t ahead = 0;
    for (const member_facts &item : m_members.living()) {
        ahead += rendezvousWeight(endpointKey, hashBytes(item.instance)) > own ? 1 : 0;
    }
    return ahead < pollersPerEndpoint;
}

} // namespace chicoryrouter
