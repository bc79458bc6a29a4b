// The control strand of a daemon: one thread that owns all mutable state except that of requests. It processes platform lists, peer
// messages and request outcomes, and publishes the tables that request threads read. Functions marked "any thread" post to this thread,
// take a lock or read a published table; all others must be called on the control strand.
#pragma once

#include "chicoryrouter/account_window.h"
#include "chicoryrouter/cluster_state.h"
#include "chicoryrouter/load_exchange.h"
#include "chicoryrouter/prompt_quarantine.h"
#include "chicoryrouter/settings.h"
#include "chicoryrouter/spending.h"
#include "chicoryrouter/use_changes.h"
#include "shell/copy_manager.h"
#include "shell/datagram_link.h"
#include "shell/gateway.h"
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

// Hooks that replace or extend the standard sources of documents, endpoints and members. Every function except `reader` may be empty.
struct control_hooks
{
    document_reader reader = parseDocument;
    std::function<void(control &)> startLoops;        // starts the replacement loops on the control strand; empty: the standard loops run
    duration documentPullDelay{};                     // wait before a newer document is pulled from a peer, so that the replacement source can deliver it first
    std::function<void(const document &)> onDocument; // called when a document has taken effect
    std::function<void()> onLeave;                    // called when this instance is about to stop
    std::function<void(std::uint64_t part, duration remaining)> onQuarantineChange; // a prompt part is quarantined from now on; 0: no longer
    std::function<void(metrics &)> updateGauges;                                    // called once a second to set additional gauges
    // Handles peer calls whose path the control strand does not know; returns nullopt for unknown paths.
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
        listening_port datagrams = {}, // none: no reports are sent to peers or received from them
        control_hooks hooks = {});
    ~control();

    void start();
    void stop();  // any thread but the control strand; joins it
    void leave(); // any thread: announces to peers that this instance leaves, and releases leases

    void onOutcome(const attempt_outcome &outcome); // any thread
    void onPromptOutcome(prompt_outcome outcome);   // any thread
    void onLeavingAnswer(endpoint_ptr target);      // any thread: the endpoint said in an answer that it leaves
    [[nodiscard]] std::string statusJson();         // any thread but the control strand; blocks until the strand has answered
    [[nodiscard]] boost::asio::io_context &context() { return m_context; }
    [[nodiscard]] std::shared_ptr<const revisioned_document> currentDocument() const { return m_gateway.config.share()->document; } // any thread

    // ---- Only on the control strand, except where marked
    boost::asio::awaitable<std::uint64_t> applyDocument(std::string yaml, std::uint64_t expectedRevision); // validates, stores and applies; throws error
    boost::asio::awaitable<std::optional<std::string>> onPeerCall(std::string path, std::string body);
    boost::asio::awaitable<std::optional<std::string>> callPeer(address peerAddress, std::string path, std::string body, time_point deadline);
    [[nodiscard]] std::string composeStatus() const;
    boost::asio::awaitable<void> pause(duration span);
    void onInstances(const instance_list &list);
    void offerDocument(const document_envelope &envelope, const std::string &source);
    void setEndpointsKnownAt(time_point moment); // in bootTimeNow() time, which includes machine suspension; an earlier value than the stored one is ignored
    void refreshMoves();
    void adoptQuarantine(std::uint64_t part, duration remaining); // quarantined by another daemon
    cluster_state &clusterState() { return m_clusterState; }
    void runWithRestart(const std::string &name, const std::function<boost::asio::awaitable<void>()> &loop); // restarts the loop after an exception
    void onRequestStarted(const std::string &account); // any thread: an endpoint has started to answer a request
    // Requests that started in a window, summed over all daemons. `complete` is set when every live daemon has reported the whole window.
    usage_counts usageOf(std::uint64_t window, bool &complete) const;
    [[nodiscard]] const usage_ledger &localUsage() const { return m_usage; }
    [[nodiscard]] service_load loadOf(const std::string &service) const; // summed over this daemon and all that report
    [[nodiscard]] bool isLoadControlled() const { return m_host.loadControl.isOn(); }
    fleet &endpoints() { return m_fleet; }
    const settings &daemonSettings() const { return m_settings; }

private:
    boost::asio::awaitable<void> watchConfiguration();
    boost::asio::awaitable<void> pollInstances();
    boost::asio::awaitable<void> pollLoad();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> gossip();
    boost::asio::awaitable<void> runOutcomeLoop();
    boost::asio::awaitable<void> fetchLoad(endpoint_ptr target);
    boost::asio::awaitable<void> runProbe(probe gossipProbe);
    boost::asio::awaitable<bool> exchangeGossip(address peerAddress, std::string instance);
    gossip_result receiveGossip(const std::string &message);
    boost::asio::awaitable<void> pullDocument(std::string instance);
    boost::asio::awaitable<bool> readOrRecordOutcome(std::string service);
    boost::asio::awaitable<std::optional<instance_list>> currentInstances();

    struct logged_use
    {
        endpoint_ptr item;
        endpoint_use use = endpoint_use::Usable;
    };

    struct logged_move
    {
        move_state state = move_state::Waiting;
        std::uint32_t share = 0;
        bool operator==(const logged_move &) const = default;
    };

    void applyLoadReports(const std::vector<load_report> &reports);
    void applyOutcomes();
    void updateQuarantine();
    void measureLoad();
    void countStartedRequests();
    void refillAccounts();
    void sendDatagrams();
    void exchangeLoad();
    void receiveDatagram(datagram_kind kind, std::string_view bytes);
    void receiveDepartures(std::string_view bytes);
    void onDeparted(const std::string &endpointId, std::string_view source);
    void sendSpendingReport(const std::vector<address> &peers, time_point now);
    void refreshMembers();
    void refreshAccounts();
    void measureDemand();
    void publish();
    void logEndpointUses();
    void logOverload();
    void logEndpointUse(const endpoint &item, std::string_view before, time_point now);
    void logUseSummaries();
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
    const std::uint64_t m_processStart; // identifies this process in spending reports; separate from the incarnation, which grows when this daemon refutes a
                                        // suspicion or leaves
    document_pull_timer m_pull;
    fleet m_fleet;
    placement_loop m_placement;
    std::map<std::string, account_window> m_accountWindows;          // by account name, accounts with a limit only; empty without settings::accountWindow
    std::map<std::string, std::shared_ptr<account_load>> m_accounts; // by account name; kept across document changes so that counts stay correct
    std::map<std::string, std::uint64_t> m_previousDemand;           // by account: total demand at the last measurement
    prompt_quarantine m_quarantine;                                  // of prompt parts that crash endpoints
    departure_reports m_departures;                                  // endpoints that said to this daemon that they leave
    spending_tracker m_spending;                                     // of accounts with a token rate limit
    load_exchange m_loadExchange;                                    // between the daemons of the failure domain
    std::unique_ptr<datagram_link> m_datagramLink;                   // null: no reports are sent or received
    std::uint64_t m_datagramSequence = 0;
    usage_ledger m_usage;                                              // requests started on this daemon
    std::vector<std::pair<std::string, time_point>> m_startedRequests; // account and start time since the last tick; guarded by m_outcomesLock
    std::map<std::string, service_load> m_localLoads;                  // by service: this daemon's open requests, averaged over time
    time_point m_loadsUpdatedAt{};                                     // when m_localLoads was last updated
    time_point m_nextDatagramAt{};                                     // when the next datagrams are due
    time_point m_nextLoadAt{};                                         // when the failure domain's daemons are to be told the load
    time_point m_refilledAt{};                        // when account tokens were last refilled; in bootTimeNow() time, which includes suspension
    time_point m_gaugesUpdatedAt{};                   // when the gauges were last set
    time_point m_documentAppliedAt{};                 // when this daemon applied the current document
    time_point m_demandMeasuredAt{};                  // when m_previousDemand was taken
    std::map<std::string, logged_move> m_loggedMoves; // by service: the state and share last logged
    std::map<std::string, logged_use> m_loggedUses;   // by endpoint id: the use last logged
    use_changes m_useChanges;                         // those of the last second, by kind
    std::mutex m_outcomesLock;
    std::vector<attempt_outcome> m_outcomes;           // reported by request threads since the last tick; guarded by m_outcomesLock
    std::vector<prompt_outcome> m_promptOutcomes;      // the same
    std::string m_instanceListText;                    // the latest instance list as received, served to peers that do not poll the platform
    std::uint64_t m_storeVersion = 0;                  // version of the configuration key when last read
    std::uint64_t m_handledMemberChanges = UINT64_MAX; // the membership change count that refreshMembers() last handled
};

// Runs a peer's call on the control strand; any thread. Returns nullopt while the control strand does not exist yet (nullptr).
boost::asio::awaitable<std::optional<std::string>> askControl(control *controlStrand, std::string path, std::string body);

} // namespace chicoryrouter
