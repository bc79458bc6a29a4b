// The control strand's loops for the configuration, endpoints, members and publishing. Gossip, reports between daemons, version moves and
// status are in control_gossip.cpp, control_reports.cpp, control_moves.cpp and control_status.cpp.
#include "shell/control.h"

#include "chicoryrouter/hash.h"
#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration tickInterval = 50ms;
constexpr duration watchTimeout = 10s;     // length of one long-poll watch request
constexpr duration roleCheckInterval = 1s; // how often a daemon checks whether it is selected to watch
constexpr duration callTimeout = 2s;
constexpr duration restartDelay = 250ms; // of a loop that ended by an exception
constexpr duration instanceListGracePeriod = 5s;
constexpr std::size_t watchersPerDomain = 2; // daemons that watch the configuration, and that poll the instance list

member_info selfMember(const settings &daemonSettings)
{
    // The start time is the first incarnation, so that after a restart under the same name this process supersedes gossip about the previous one.
    const auto start = static_cast<std::uint64_t>(systemNow().time_since_epoch().count());
    return {daemonSettings.instance, daemonSettings.failureDomain, daemonSettings.peer, start, member_state::Alive};
}

cluster_state_options optionsFor(const settings &daemonSettings, document_reader reader)
{
    cluster_state_options options;
    options.reader = reader;
    options.members.probeTimeout = daemonSettings.gossipInterval * 2;
    options.members.suspicionTimeout = daemonSettings.gossipInterval * 6;
    return options;
}

} // namespace

control::control(const settings &daemonSettings,
    request_host &host,
    gateway &requestGateway,
    copy_manager &copies,
    std::shared_ptr<store_counters> storeCounters,
    std::shared_ptr<peer_counters> peerCounters,
    listening_port datagrams,
    control_hooks hooks)
    : m_settings(daemonSettings)
    , m_hooks(std::move(hooks))
    , m_host(host)
    , m_gateway(requestGateway)
    , m_copies(copies)
    , m_client(m_context.get_executor())
    , m_store(m_context.get_executor(), daemonSettings.keyValue, std::move(storeCounters))
    , m_peers(m_context.get_executor(), daemonSettings.peerKey, std::move(peerCounters))
    , m_random(std::random_device()())
    , m_clusterState(selfMember(daemonSettings), optionsFor(daemonSettings, m_hooks.reader), m_random.next())
    , m_processStart(m_clusterState.members().self().incarnation + 1) // + 1: never zero
    , m_pull(m_hooks.documentPullDelay)
    , m_fleet(daemonSettings.failureDomain, hashBytes(daemonSettings.instance))
    , m_placement(daemonSettings, m_context, m_client, m_store)
    , m_quarantine(mixBits(hashBytes(daemonSettings.instance) ^ m_processStart))
    , m_spending(daemonSettings.instance)
    , m_loadExchange(daemonSettings.instance, m_processStart)
    , m_usage(daemonSettings.usageWindow)
{
    m_host.loadControl.setMode(m_settings.loadControl);
    if (datagrams.isBound()) {
        m_datagramLink = std::make_unique<datagram_link>(
            m_context, std::move(datagrams), daemonSettings.peerKey, [this](datagram_kind kind, std::string_view bytes) { receiveDatagram(kind, bytes); });
    }
}

control::~control()
{
    stop();
}

void control::start()
{
    runWithRestart("gossip", [this] { return gossip(); });
    runWithRestart("tick", [this] { return tick(); });
    if (m_hooks.startLoops) {
        m_hooks.startLoops(*this);
    } else {
        runWithRestart("watch of the configuration", [this] { return watchConfiguration(); });
        runWithRestart("instance list", [this] { return pollInstances(); });
        runWithRestart("load reports", [this] { return pollLoad(); });
        runWithRestart("outcomes", [this] { return runOutcomeLoop(); });
    }
    if (m_settings.cloud.port != 0 && !m_hooks.startLoops) {
        runWithRestart("placement", [this] { return m_placement.run(m_clusterState, m_fleet, m_host); });
    }
    m_thread = std::thread([this] { runContext(m_context, "control"); });
}

void control::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control::leave()
{
    asio::post(m_context, [this] {
        m_clusterState.members().leave();
        m_placement.releaseLeases();
        if (m_hooks.onLeave) {
            m_hooks.onLeave();
        }
    });
}

void control::runWithRestart(const std::string &name, const std::function<asio::awaitable<void>()> &loop)
{
    asio::co_spawn(m_context, loop(), [this, name, loop](const std::exception_ptr &fault) {
        if (fault == nullptr) {
            return; // the loop ended normally
        }
        logEvent(log_event::LoopFault, {{"loop", name}, {"why", reasonOf(fault)}});
        const auto timer = std::make_shared<asio::steady_timer>(m_context, restartDelay);
        timer->async_wait([this, name, loop, timer](const boost::system::error_code &code) {
            if (!code) {
                runWithRestart(name, loop);
            }
        });
    });
}

asio::awaitable<void> control::pause(duration span)
{
    asio::steady_timer timer(m_context, span);
    co_await timer.async_wait(asio::use_awaitable);
}

// ---- Configuration ---------------------------------------------------------------------------------------------------------------------

asio::awaitable<void> control::watchConfiguration()
{
    const std::string key(configurationKey);
    while (true) {
        // Two daemons in each failure domain watch; the others learn of changes by gossip. A daemon without any document also watches.
        const bool hasNoDocument = m_clusterState.documents().current()->revision == 0;
        if (!hasNoDocument && !m_clusterState.members().isSelectedFor("watch", watchersPerDomain)) {
            co_await pause(roleCheckInterval);
            continue;
        }
        const store_reply reply = co_await m_store.watch(key, m_storeVersion, systemNow() + watchTimeout);
        if (reply.outcome != store_outcome::Ok) {
            co_await pause(roleCheckInterval / 2);
            continue;
        }
        m_storeVersion = reply.version;
        const std::optional<document_envelope> envelope = decodeEnvelope(reply.value);
        if (envelope) {
            offerDocument(*envelope, "the key-value service");
        } else {
            logEvent(log_event::EntryUnreadable, {{"entry", key}, {"revision", reply.version}, {"why", "the entry is not a valid document envelope"}});
        }
    }
}

void control::offerDocument(const document_envelope &envelope, const std::string &source)
{
    const auto parseStart = std::chrono::steady_clock::now(); // systemNow() may be too coarse to time the parse
    const offer_result result = m_clusterState.offerDocument(envelope.revision, envelope.text);
    const auto parseTime = std::chrono::floor<std::chrono::microseconds>(std::chrono::steady_clock::now() - parseStart);
    const auto inForce = m_clusterState.documents().current();
    switch (result) {
    case offer_result::Adopted:
        logEvent(log_event::DocumentInForce,
            {{"revision", envelope.revision}, {"source", source}, {"bytes", envelope.text.size()}, {"routes", inForce->content.routes.size()},
                {"read_us", parseTime.count()}});
        m_documentAppliedAt = systemNow();
        m_pull.onAdopted();
        m_fleet.setDocument(inForce);
        if (m_hooks.onDocument) {
            m_hooks.onDocument(inForce->content);
        }
        refreshMoves();
        publishFrontTable();
        publish();
        break;
    case offer_result::Invalid:
        logEvent(log_event::DocumentRefused, {{"revision", envelope.revision}, {"source", source}, {"why", m_clusterState.documents().lastFault()}});
        break;
    case offer_result::NotNewer:
        if (envelope.revision == inForce->revision && envelope.text != inForce->text) {
            logEvent(log_event::DocumentPassedOver, {{"revision", envelope.revision}, {"source", source}});
        }
        break;
    }
}

asio::awaitable<std::uint64_t> control::applyDocument(std::string yaml, std::uint64_t expectedRevision)
{
    const std::string key(configurationKey);
    parseDocument(yaml); // throws before anything is stored
    const store_reply stored = co_await m_store.get(key, systemNow() + callTimeout);
    if (stored.outcome == store_outcome::Unavailable) {
        throw error(error_kind::PlatformUnavailable, "the key-value service does not answer");
    }
    const std::optional<document_envelope> storedEnvelope = stored.outcome == store_outcome::Ok ? decodeEnvelope(stored.value) : document_envelope{};
    const std::uint64_t storedRevision = storedEnvelope ? storedEnvelope->revision : 0;
    if (storedRevision != expectedRevision) {
        throw error(error_kind::StaleRevision,
            "revision " + std::to_string(storedRevision) + " is in force, but the change expects revision " + std::to_string(expectedRevision));
    }
    const document_envelope proposed{expectedRevision + 1, std::move(yaml)};
    const std::string bytes = encodeEnvelope(proposed);
    store_reply reply = co_await m_store.compareAndSwap(key, stored.version, bytes, duration{}, systemNow() + callTimeout);
    if (reply.outcome == store_outcome::Unavailable) {
        // The write may have taken effect although its reply was lost: read the key back before reporting a result.
        reply = co_await m_store.get(key, systemNow() + callTimeout);
        const bool overwritten = reply.outcome == store_outcome::Ok && reply.value != bytes;
        reply.outcome = overwritten ? store_outcome::Conflict : reply.outcome;
    }
    if (reply.outcome == store_outcome::Conflict) {
        throw error(error_kind::StaleRevision, "another change was stored at the same time; read the revision in force and try again");
    }
    if (reply.outcome != store_outcome::Ok) {
        throw error(error_kind::PlatformUnavailable,
            "the key-value service did not confirm the write, so the change may or may not be stored; read the revision in force");
    }
    offerDocument(proposed, "an operator");
    co_return proposed.revision;
}

// ---- Endpoints -------------------------------------------------------------------------------------------------------------------------

// Two daemons of each failure domain poll the platform. The others ask the live peers of their failure domain, and the platform only when none
// of them answers.
asio::awaitable<std::optional<instance_list>> control::currentInstances()
{
    if (!m_clusterState.members().isSelectedFor("list", watchersPerDomain)) {
        for (const member_info &peer : m_clusterState.members().liveMembers()) {
            const bool canAnswer = peer.instance != m_settings.instance && peer.failureDomain == m_settings.failureDomain && peer.state == member_state::Alive;
            if (!canAnswer) {
                continue;
            }
            const std::string knownHash = std::to_string(hashBytes(m_instanceListText));
            const std::optional<std::string> answer = co_await m_peers.call(peer.peer, "/instances", knownHash, systemNow() + callTimeout);
            if (answer) {
                m_instanceListText = answer->empty() ? m_instanceListText : *answer;
                co_return decodeInstanceList(m_instanceListText);
            }
        }
    }
    const std::optional<std::string> text = co_await fetchInstanceText(m_client, m_settings.instanceList, systemNow() + callTimeout);
    if (!text) {
        co_return std::nullopt;
    }
    m_instanceListText = *text;
    co_return decodeInstanceList(*text);
}

asio::awaitable<void> control::pollInstances()
{
    const time_point started = systemNow();
    while (true) {
        const std::optional<instance_list> list = co_await currentInstances();
        if (list) {
            setEndpointsKnownAt(bootTimeNow());
            onInstances(*list);
        }
        // A daemon becomes ready once it knows its peers, since it needs them to replicate requests that must complete. It doesn't wait longer than the
        // grace period, so that a platform outage doesn't keep it from serving.
        m_gateway.peersKnown = m_gateway.peersKnown || list || systemNow() >= started + instanceListGracePeriod;
        co_await pause(m_settings.pollInterval);
    }
}

void control::setEndpointsKnownAt(time_point moment)
{
    const time_point before = m_host.endpointsKnownAt.load(std::memory_order_relaxed);
    m_host.endpointsKnownAt.store(std::max(before, moment), std::memory_order_relaxed);
}

void control::onInstances(const instance_list &list)
{
    std::vector<member_info> members;
    for (const listed_member &item : list.members) {
        members.push_back({item.instance, item.failureDomain, item.peer, 0, member_state::Alive});
    }
    m_clusterState.members().onInstanceList(members, systemNow());
    m_gateway.peersKnown = true;
    refreshMembers();
    m_placement.onInstances(list);
    const std::vector<reclaim_notice> notices = m_fleet.onInstanceList(list.endpoints, systemNow());
    if (m_fleet.isDirty()) {
        publish(); // immediately: waiting requests get new endpoints, and an endpoint with a reclaim notice gets no new requests before its streams are moved
    }
    for (const reclaim_notice &notice : notices) {
        const duration remaining = notice.leaveBy == noDeadline ? duration{} : notice.leaveBy - systemNow();
        logEvent(log_event::EndpointNotice, {{"endpoint", notice.endpointId}, {"leaves_in_ms", inMilliseconds(remaining)}, {"source", "list"}});
        if (notice.leaveBy != noDeadline) {
            m_host.moveStreams(notice); // without a deadline the endpoint finishes its open requests
        }
    }
}

void control::onLeavingAnswer(endpoint_ptr target)
{
    asio::post(m_context, [this, endpoint = std::move(target)] {
        if (const std::optional<departure> told = m_fleet.onLeavingAnswer(*endpoint, systemNow())) {
            m_departures.add({told->endpointId, told->incarnation, bootTimeNow()}, bootTimeNow());
            m_host.counts.countLeavingAnswer();
            onDeparted(endpoint->id, "answer");
        }
    });
}

void control::receiveDepartures(std::string_view bytes)
{
    for (const departure &item : decodeDepartures(bytes, systemNow()).value_or(std::vector<departure>{})) {
        if (m_fleet.onDeparture(item, systemNow())) {
            onDeparted(item.endpointId, "peer");
        }
    }
}

// At once, as the requests that wait must not get the endpoint.
void control::onDeparted(const std::string &endpointId, std::string_view source)
{
    logEvent(log_event::EndpointNotice, {{"endpoint", endpointId}, {"leaves_in_ms", 0}, {"source", source}});
    publish();
}

asio::awaitable<void> control::pollLoad()
{
    while (true) {
        for (const endpoint_status &status : m_fleet.status()) {
            if (m_clusterState.pollsEndpoint(status.info->key, status.info->failureDomain)) {
                asio::co_spawn(m_context, fetchLoad(status.info), logged_end("load report"));
            }
        }
        co_await pause(m_settings.pollInterval);
    }
}

asio::awaitable<void> control::fetchLoad(endpoint_ptr target)
{
    const std::optional<load_report> report = co_await fetchLoadReport(m_client, target, systemNow() + callTimeout);
    if (report && m_clusterState.onLoadReport(*report)) {
        applyLoadReports({*report});
    }
}

void control::applyLoadReports(const std::vector<load_report> &reports)
{
    for (const load_report &report : reports) {
        m_fleet.onLoadReport(report, systemNow());
    }
}

void control::onOutcome(const attempt_outcome &outcome)
{
    const std::lock_guard guard(m_outcomesLock);
    m_outcomes.push_back(outcome);
}

// Outcomes are processed in one batch per tick: waking this thread for each request would cost more than routing the request.
void control::applyOutcomes()
{
    std::vector<attempt_outcome> pending;
    {
        const std::lock_guard guard(m_outcomesLock);
        pending.swap(m_outcomes);
    }
    for (attempt_outcome &outcome : pending) {
        outcome.endpointCold = m_fleet.isCold(outcome.endpointId, systemNow() - outcome.firstToken);
        m_fleet.onOutcome(outcome, systemNow());
        m_clusterState.onOutcome(outcome, systemNow());
    }
}

asio::awaitable<void> control::tick()
{
    while (true) {
        co_await pause(tickInterval);
        applyOutcomes();
        updateQuarantine();
        m_fleet.startDueProbes(systemNow());
        m_fleet.refillPaceTokens(systemNow());
        m_fleet.endRests(systemNow());
        measureLoad();
        countStartedRequests();
        sendDatagrams();
        exchangeLoad();
        refillAccounts();
        measureDemand();
        updateGauges();
        refreshMembers();
        refreshMoves();
        if (m_fleet.isDirty()) {
            publish();
        }
        for (const std::string &service : m_host.slots.servicesWaiting()) {
            m_host.serveWaiting(service, m_random);
        }
    }
}

// ---- Members ---------------------------------------------------------------------------------------------------------------------------

void control::refreshMembers()
{
    const std::vector<std::uint64_t> sharers = m_clusterState.members().limitSharers(systemNow());
    m_fleet.setMembers(sharers);
    if (m_clusterState.members().changeCount() == m_handledMemberChanges) {
        return;
    }
    m_handledMemberChanges = m_clusterState.members().changeCount();
    m_host.divideRetryReserve(m_settings.retryReserve, m_clusterState.members().liveMembers().size());
    auto view = std::make_shared<peer_view>();
    view->self = m_settings.instance;
    view->ownFailureDomain = m_settings.failureDomain;
    std::vector<std::string> deadInstances;
    std::string line;
    for (const member_info &item : m_clusterState.members().allMembers()) {
        line += (line.empty() ? "" : ", ") + item.instance + " " + std::string(toText(item.state));
        if (item.state == member_state::Dead) {
            deadInstances.push_back(item.instance);
        } else if (item.instance != m_settings.instance) {
            view->livePeers.push_back(item);
        }
    }
    m_copies.view.publish(std::move(view));
    logEvent(log_event::MembersChanged, {{"members", line}});
    refreshAccounts();
    m_copies.takeOverFrom(deadInstances);
}

// ---- Publishing ------------------------------------------------------------------------------------------------------------------------

void control::publish()
{
    m_fleet.refillPaceTokens(systemNow()); // a document that has just come into force may state that cold endpoints are to be paced
    m_host.slots.publish(m_fleet.buildTable());
    logEndpointUses();
    for (const std::string &service : m_host.slots.servicesWaiting()) {
        m_host.serveWaiting(service, m_random);
    }
}

void control::publishFrontTable()
{
    auto table = std::make_shared<gateway_config>();
    table->document = m_clusterState.documents().current();
    for (const client_account &account : table->document->content.accounts) {
        auto &load = m_accounts[account.name];
        if (load == nullptr) {
            load = std::make_shared<account_load>();
        }
        for (const std::string &hash : account.tokenHashes) {
            table->accounts[hash] = {account, load};
        }
    }
    refreshAccounts();
    refillAccounts(); // so that a new limit applies from the first request
    m_gateway.config.publish(std::move(table));
}

} // namespace chicoryrouter
