// The control strand of a daemon: owns all mutable state that is not a request's, learns from platform, peers and outcomes, and
// publishes the tables that request threads read. Everything here runs on one thread; functions marked "any thread" post to it.
#pragma once

#include "chicoryrouter/cluster_state.h"
#include "chicoryrouter/settings.h"
#include "chicoryrouter/spending.h"
#include "shell/copy_keeper.h"
#include "shell/gateway.h"
#include "shell/note_link.h"
#include "shell/peer_link.h"
#include "shell/placement_loop.h"
#include "shell/platform_client.h"
#include "shell/store_client.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace chicoryrouter {

class control;

// Where documents, endpoints and members come from, when they do not come by the standard protocols.
struct control_hooks
{
    document_reader reader = parseDocument;
    std::function<void(control &)> startLoops;             // starts its loops on the control strand; empty: the standard ones run
    duration documentPullDelay{};                             // peers' newer documents are pulled when its own way has not brought them by then
    std::function<void(const document &)> onDocument; // it is in force from now on. May stay empty
    std::function<void()> onLeave;                      // this instance is about to stop
    std::function<void(metrics &)> updateGauges;        // what it knows beside the control strand; once a second. May stay empty
    // A peer's call that the control strand does not know itself; nothing: nobody knows it. May stay empty.
    std::function<boost::asio::awaitable<std::optional<std::string>>(std::string path, std::string body)> onPeerCall;
};

class control
{
public:
    control(const settings &daemonSettings,
        request_host &host,
        gateway &requestGateway,
        copy_manager &copies,
        std::shared_ptr<store_counters> storeCounters,
        std::shared_ptr<peer_counters> peerCounters,
        control_hooks hooks = {});
    ~control();

    void start();
    void stop();  // any thread; joins
    void leave(); // any thread: peers learn that this instance leaves

    void onOutcome(const attempt_outcome &outcome); // any thread
    [[nodiscard]] std::string statusJson();         // any thread but the control strand; waits for it
    [[nodiscard]] boost::asio::io_context &context() { return m_context; }
    [[nodiscard]] std::shared_ptr<const revisioned_document> currentDocument() const { return m_gateway.config.share()->document; } // any thread

    // ---- On the control strand
    boost::asio::awaitable<std::uint64_t> applyDocument(std::string yaml, std::uint64_t expectedRevision); // throws error
    boost::asio::awaitable<std::optional<std::string>> onPeerCall(std::string path, std::string body);
    boost::asio::awaitable<std::optional<std::string>> callPeer(address peerAddress, std::string path, std::string body, time_point deadline);
    [[nodiscard]] std::string composeStatus() const;
    boost::asio::awaitable<void> pause(duration span);
    void onInstances(const instance_list &list);
    void offerDocument(const document_envelope &envelope, const std::string &source);
    void setEndpointsKnownAt(time_point moment); // on the clock that counts suspension; an older one than before is passed over
    void refreshMoves();
    cluster_state &clusterState() { return m_clusterState; }
    void runWithRestart(const std::string &name, const std::function<boost::asio::awaitable<void>()> &loop); // begun again should it end by a fault
    void onRequestStarted(const std::string &account);                                                             // any thread: an endpoint began to answer a request
    // Requests that began to run in a window, over all daemons; `complete`: all that are present have told all of it.
    usage_counts usageOf(std::uint64_t window, bool &complete) const;
    [[nodiscard]] const usage_ledger &localUsage() const { return m_usage; }
    [[nodiscard]] service_load loadOf(const std::string &service) const; // over all daemons that are heard
    fleet &endpoints() { return m_fleet; }
    const settings &daemonSettings() const { return m_settings; }

private:
    boost::asio::awaitable<void> watchConfiguration();
    boost::asio::awaitable<void> pollInstances();
    boost::asio::awaitable<void> pollLoad();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> gossip();
    boost::asio::awaitable<void> runVerdictLoop();
    boost::asio::awaitable<void> fetchLoad(endpoint_ptr target);
    boost::asio::awaitable<void> runProbe(probe gossipProbe);
    boost::asio::awaitable<bool> exchangeGossip(address peerAddress, std::string instance);
    gossip_result receiveGossip(const std::string &message);
    boost::asio::awaitable<void> pullDocument(std::string instance);
    boost::asio::awaitable<bool> readOrRecordVerdict(std::string service);
    boost::asio::awaitable<std::optional<instance_list>> currentInstances();

    struct logged_move
    {
        move_state state = move_state::Waiting;
        std::uint32_t share = 0;
        bool operator==(const logged_move &) const = default;
    };

    void applyLoadReports(const std::vector<load_report> &reports);
    void applyOutcomes();
    void measureLoad();
    void countStartedRequests();
    void refillAccounts();
    void sendDatagrams();
    void receiveDatagram(note_kind kind, std::string_view bytes);
    void sendSpendingReport(const std::vector<address> &peers, time_point now);
    void refreshMembers();
    void refreshAccounts();
    void measureDemand();
    void publish();
    void logEndpointUses();
    void updateGauges();
    void publishFrontTable();

    settings m_settings;
    control_hooks m_hooks;
    request_host &m_host;
    gateway &m_gateway;
    copy_manager &m_copies;
    boost::asio::io_context m_context{1};
    std::thread m_thread;
    http_client m_client;
    store_client m_store;
    peer_client m_peers;
    seeded_random m_random;
    cluster_state m_clusterState;
    const std::uint64_t m_processStart; // of this process, as notes tell it; the incarnation grows beside it, whenever this daemon refutes or leaves
    document_pull_timer m_pull;
    fleet m_fleet;
    placement_loop m_placement;
    std::map<std::string, std::shared_ptr<account_load>> m_accounts; // by name; kept over documents, so counts stay right
    std::map<std::string, std::uint64_t> m_previousDemand;              // by account, for the demand per second
    spending_tracker m_spending;                                     // of accounts that are limited by tokens
    std::unique_ptr<note_link> m_datagramLink;                              // null: accounts are not limited by tokens here
    std::uint64_t m_datagramSequence = 0;
    usage_ledger m_usage;                                    // requests that began to run here
    std::vector<std::pair<std::string, time_point>> m_startedRequests; // guarded by m_outcomesLock: since the last tick
    std::map<std::string, service_load> m_localLoads;             // by service: what this daemon has open, averaged
    time_point m_loadsUpdatedAt{};                                  // when m_loads was last brought up to date
    time_point m_nextDatagramAt{};                                   // when the next note is due
    time_point m_refilledAt{};                               // when tokens of accounts were last handed out; on the clock that counts suspension
    time_point m_gaugesUpdatedAt{};                                 // when the gauges were last set
    time_point m_documentAppliedAt{};                               // when the document in force came into force here
    time_point m_demandMeasuredAt{};                               // since when m_askedBefore counts
    std::map<std::string, logged_move> m_loggedMoves;           // by service: the last stage logged
    std::map<std::string, endpoint_use> m_loggedUses;              // by endpoint: as last told in the log
    std::mutex m_outcomesLock;
    std::vector<attempt_outcome> m_outcomes;  // of request threads, since the last tick
    std::string m_instanceListText;                   // the newest instance list, for peers that do not poll it
    std::uint64_t m_storeVersion = 0;         // of the configuration key when last read
    std::uint64_t m_handledMemberChanges = UINT64_MAX; // membership changes already acted on
};

// A peer's call, from any thread, answered on the control strand; nothing while there is no control yet.
boost::asio::awaitable<std::optional<std::string>> askControl(control *controlStrand, std::string path, std::string body);

} // namespace chicoryrouter
