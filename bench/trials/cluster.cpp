// The network, the clock and the key-value service of a cluster of agreements.
#include "trials/cluster.h"

#include "chicoryrouter/hash.h"

#include <algorithm>

namespace chicoryrouter::trials {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t firstPort = 1000;
constexpr duration watchLag = 50ms; // from a write to a watcher's answer
constexpr duration watchRetry = 1s;
constexpr duration settleInterval = 500ms;
constexpr std::size_t verdictTellers = 2; // as the daemon's control strand has it
constexpr duration verdictPoll = 5s;
constexpr std::size_t watchersPerDomain = 2;
constexpr std::size_t relayBytes = 64;
constexpr std::size_t mostNoteBytes = 1400; // as the daemon's datagrams

} // namespace

std::vector<std::string> spreadOver(std::size_t daemons, std::size_t domains)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < daemons; ++i) {
        result.push_back("d" + std::to_string(i % domains));
    }
    return result;
}

cluster::cluster(cluster_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (std::size_t i = 0; i < m_options.domains.size(); ++i) {
        addNode(nameOf(i), m_options.domains[i], static_cast<std::uint16_t>(firstPort + i));
    }
    if (!m_options.document.empty()) {
        putDocument(1, m_options.document);
        for (node &item : m_nodes) {
            item.core->offerDocument(1, m_options.document);
        }
    }
    list();
}

void cluster::addNode(const std::string &name, const std::string &domain, std::uint16_t port)
{
    cluster_state_options options;
    options.members.probeTimeout = m_options.gossipInterval * 2;
    options.members.suspicionTimeout = m_options.gossipInterval * 6;
    node fresh;
    fresh.domain = domain;
    const auto start = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
    fresh.core = std::make_unique<cluster_state>(member_info{name, domain, {"10.0.0.1", port}, start, member_state::Alive}, options, m_random.next());
    m_nodes.push_back(std::move(fresh));
    const std::size_t index = m_nodes.size() - 1;
    const duration phase(static_cast<std::int64_t>(uniformBelow(m_random, static_cast<std::uint64_t>(m_options.gossipInterval.count()))));
    at(m_now + phase, [this, index] { tick(index); });
    at(m_now + phase, [this, index] { watch(index); });
    at(m_now + phase, [this, index] { settleMoves(index); });
    if (m_options.noteInterval > duration{}) {
        at(m_now + phase % m_options.noteInterval, [this, index] { tellEvidence(index); });
    }
}

// The platform's list: who lives, without those that died.
void cluster::list()
{
    std::vector<member_info> listed;
    for (const node &item : m_nodes) {
        if (item.living) {
            listed.push_back(item.core->members().self());
        }
    }
    for (node &item : m_nodes) {
        if (item.living && !item.cutFromStore) {
            item.core->members().onInstanceList(listed, m_now);
        }
    }
}

void cluster::at(time_point moment, std::function<void()> what)
{
    m_events.push({moment, ++m_order, std::move(what)});
}

void cluster::runFor(duration span)
{
    const time_point end = m_now + span;
    while (!m_events.empty() && m_events.top().when <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.when);
        next.what();
    }
    m_now = end;
}

// ---- Gossip ----------------------------------------------------------------------------------------------------------------------------

void cluster::tick(std::size_t index)
{
    node &item = m_nodes[index];
    if (!item.living) {
        return;
    }
    at(m_now + m_options.gossipInterval, [this, index] { tick(index); });
    if (m_now < item.pausedUntil) {
        return;
    }
    for (const probe &what : item.core->onTick(m_now)) {
        runProbe(index, what);
    }
    if (surroundings) {
        item.core->updateMoves([this, index](const version_move &move) { return surroundings(index, move); }, m_now);
    }
}

void cluster::tellEvidence(std::size_t index)
{
    node &item = m_nodes[index];
    if (!item.living) {
        return;
    }
    at(m_now + m_options.noteInterval, [this, index] { tellEvidence(index); });
    if (m_now < item.pausedUntil) {
        return;
    }
    for (const std::string &note : item.core->evidenceDatagrams(mostNoteBytes)) {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != index) {
                deliver(index, to, note.size(), [this, to, note] { m_nodes[to].core->receiveEvidenceDatagram(note); });
            }
        }
    }
}

std::size_t cluster::indexAt(const address &where) const
{
    for (std::size_t i = m_nodes.size(); i > 0; --i) {
        const bool here = m_nodes[i - 1].living && m_nodes[i - 1].core->members().self().peer == where;
        if (here) {
            return i - 1;
        }
    }
    return m_nodes.size();
}

void cluster::deliver(std::size_t from, std::size_t to, std::size_t bytes, const std::function<void()> &arrive)
{
    ++m_counters.messages;
    m_counters.bytes += bytes;
    const bool lost = to >= m_nodes.size() || m_cut.count({from, to}) != 0 || chance(m_random, m_options.loss);
    if (lost) {
        return;
    }
    const int copies = chance(m_random, m_options.doubled) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const duration late(
            m_options.late.count() == 0 ? 0 : static_cast<std::int64_t>(uniformBelow(m_random, static_cast<std::uint64_t>(m_options.late.count()))));
        at(m_now + m_options.linkDelay + late, [this, to, arrive] {
            if (m_nodes[to].living && m_now >= m_nodes[to].pausedUntil) {
                arrive();
            }
        });
    }
}

void cluster::exchange(std::size_t from, std::size_t to, const std::string &target, const std::function<void()> &answered)
{
    const std::string question = m_nodes[from].core->compose(target, m_now);
    deliver(from, to, question.size(), [this, from, to, target, question, answered] {
        const gossip_result heard = m_nodes[to].core->receive(question, m_now);
        onReceived(to, from, heard);
        if (!heard.accepted) {
            return;
        }
        const std::string answer = m_nodes[to].core->compose(heard.from, m_now);
        deliver(to, from, answer.size(), [this, from, to, answer, answered] {
            onReceived(from, to, m_nodes[from].core->receive(answer, m_now));
            answered();
        });
    });
}

void cluster::runProbe(std::size_t from, const probe &what)
{
    const std::string target = what.target;
    const auto answered = [this, from, target] {
        m_nodes[from].core->members().onAnswered(target, m_now);
    };
    if (what.relay.empty()) {
        exchange(from, indexAt(what.targetAddress), target, answered);
        return;
    }
    const std::size_t helper = indexAt(what.relayAddress);
    const address where = what.targetAddress;
    deliver(from, helper, relayBytes, [this, from, helper, where, target, answered] {
        exchange(helper, indexAt(where), target, [this, from, helper, answered] { deliver(helper, from, relayBytes, answered); });
    });
}

void cluster::onReceived(std::size_t index, std::size_t from, const gossip_result &result)
{
    check(index);
    if (!result.hasNewerDocument) {
        return;
    }
    deliver(index, from, relayBytes, [this, index, from] {
        const document_envelope held = m_nodes[from].core->documentForPeers();
        deliver(from, index, held.text.size(), [this, index, held] {
            m_nodes[index].core->offerDocument(held.revision, held.text);
            check(index);
        });
    });
}

void cluster::check(std::size_t index)
{
    node &item = m_nodes[index];
    const std::uint64_t revision = item.core->documents().current()->revision;
    m_reverted = m_reverted || revision < item.revisionSeen;
    item.revisionSeen = revision;
}

// ---- The key-value service -------------------------------------------------------------------------------------------------------------

void cluster::putDocument(std::uint64_t revision, std::string yaml)
{
    m_stored = {revision, std::move(yaml)};
    ++m_storeVersion;
}

std::string cluster::verdictOf(std::uint64_t move) const
{
    const auto found = m_verdicts.find(move);
    return found == m_verdicts.end() ? std::string() : found->second;
}

void cluster::watch(std::size_t index)
{
    node &item = m_nodes[index];
    if (!item.living) {
        return;
    }
    const bool none = item.core->documents().current()->revision == 0;
    const bool watches = m_now >= item.pausedUntil && (none || item.core->members().isSelectedFor("watch", watchersPerDomain));
    const bool reachable = !storeDown && !item.cutFromStore;
    if (watches && reachable && m_storeVersion > item.storeVersion) {
        ++m_counters.storeReads;
        item.storeVersion = m_storeVersion;
        item.core->offerDocument(m_stored.revision, m_stored.text);
        check(index);
    }
    at(m_now + (reachable ? watchLag : watchRetry), [this, index] { watch(index); });
}

void cluster::settleMoves(std::size_t index)
{
    node &item = m_nodes[index];
    if (!item.living) {
        return;
    }
    at(m_now + settleInterval, [this, index] { settleMoves(index); });
    if (m_now < item.pausedUntil || storeDown || item.cutFromStore) {
        return;
    }
    for (auto &[service, mover] : item.core->moves()) {
        const bool over = mover.state() == move_state::Done || mover.state() == move_state::RolledBack;
        const bool leads = item.core->members().isSelectedFor("verdict-" + service, 1);
        const bool turn = m_now.time_since_epoch() % verdictPoll < settleInterval;
        const auto wanted = mover.dueOutcome();
        const bool tells = item.core->members().isSelectedFor("verdict-" + service, verdictTellers);
        if (over || !tells || !(turn || (leads && wanted))) {
            continue;
        }
        ++m_counters.storeReads;
        auto &recorded = m_verdicts[mover.id()];
        if (recorded.empty() && wanted) {
            ++m_counters.storeWrites;
            recorded = encodeOutcome(*wanted, mover.reason());
        }
        if (const auto verdict = decodeOutcome(recorded)) {
            mover.onOutcome(*verdict);
        }
    }
}

// ---- Disturbing it ---------------------------------------------------------------------------------------------------------------------

void cluster::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut) {
        m_cut.insert({from, to});
    } else {
        m_cut.erase({from, to});
    }
}

void cluster::cutDomain(const std::string &domain, bool fromStore, bool isCut)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        for (std::size_t j = 0; j < m_nodes.size(); ++j) {
            const bool crosses = (m_nodes[i].domain == domain) != (m_nodes[j].domain == domain);
            if (crosses) {
                cut(i, j, isCut);
            }
        }
        if (m_nodes[i].domain == domain && fromStore) {
            m_nodes[i].cutFromStore = isCut;
        }
    }
}

void cluster::kill(std::size_t index)
{
    m_nodes[index].living = false;
}

void cluster::pauseNode(std::size_t index, duration span)
{
    m_nodes[index].pausedUntil = m_now + span;
}

std::size_t cluster::restart(std::size_t index)
{
    m_nodes[index].living = false;
    const member_info before = m_nodes[index].core->members().self();
    addNode("entry-" + std::to_string(m_nodes.size() + 1), before.failureDomain, before.peer.port);
    list();
    return m_nodes.size() - 1;
}

// ---- Looking at it ---------------------------------------------------------------------------------------------------------------------

std::size_t cluster::withRevision(std::uint64_t revision) const
{
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [&](const node &item) { return item.living && item.core->documents().current()->revision >= revision; }));
}

std::size_t cluster::seenAs(const std::string &member, member_state state) const
{
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const node &item) {
        const member_info *seen = item.core->members().find(member);
        return item.living && seen != nullptr && seen->instance != item.core->members().self().instance && seen->state == state;
    }));
}

} // namespace chicoryrouter::trials
