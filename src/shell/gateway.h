// The HTTP interface for callers: authentication, routing, completions, plain services (ordinary HTTP services, not models), reconnecting to a
// running stream, health checks and metrics.
#pragma once

#include "chicoryrouter/rcu_cell.h"
#include "chicoryrouter/request_machine.h"
#include "shell/http.h"
#include "shell/request_host.h"

#include <unordered_map>

namespace chicoryrouter {

struct account_entry
{
    client_account account;
    std::shared_ptr<account_load> load;
};

// The part of the configuration that the gateway reads. The control strand replaces it as a whole on every change.
struct gateway_config
{
    std::shared_ptr<const revisioned_document> document = std::make_shared<revisioned_document>();
    std::unordered_map<std::string, account_entry> accounts; // keyed by the hash of the account's token
};

// Reads the answers of requests that run on another instance. Implemented by copy_manager.
class remote_request_source
{
public:
    virtual ~remote_request_source() = default;
    struct fetch_result
    {
        bool found = false; // a peer holds the request; the other members are valid only then
        bool ended = false; // `tokens` reaches the end of the answer
        bool failed = false;
        error_kind failure = error_kind::Internal; // if `failed`
        std::vector<std::string> tokens;
    };
    // Returns the tokens of a request from index `from` on. Waits until `deadline` if there are none yet.
    virtual boost::asio::awaitable<fetch_result> fetch(std::string requestId, std::string account, std::uint32_t from, time_point deadline) = 0;
};

// Dispatches each HTTP request to its handler. Serves callers on all request threads.
class gateway
{
public:
    gateway(request_host &host, std::string instanceName);

    rcu_cell<gateway_config> config;             // published by the control strand, read by request threads
    std::atomic<bool> stopping{false};           // new requests are rejected; open requests continue
    std::atomic<bool> peersKnown{false};         // set once an instance list has arrived, or after a timeout without one; isReady() is false until then
    std::atomic<std::size_t> activeCallers{0};   // callers whose requests are being processed or answered now
    std::function<void(metrics &)> updateGauges; // called before the metrics are exported; optional
    http_handler operatorHandler;                // handles paths under /operator/; must be set before the first request
    remote_request_source *peers = nullptr;      // null if there are no peers

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    [[nodiscard]] bool isReady() const; // has a configuration document, peersKnown is set, and not stopping

    static void bindThread(request_thread *thread); // call once on each request thread before it handles requests
    static request_thread &currentThread();         // the one bound to the calling thread; requires bindThread()

private:
    // The client account that a request's token belongs to.
    struct caller
    {
        client_account account;
        std::shared_ptr<account_load> load;
    };

    boost::asio::awaitable<void> handleModel(http_exchange &exchange, bool chat);
    boost::asio::awaitable<void> handlePlain(http_exchange &exchange);
    boost::asio::awaitable<void> handleAttach(http_exchange &exchange);
    boost::asio::awaitable<void> attachToPeer(http_exchange &exchange, std::string id, std::string account, std::uint32_t from);
    boost::asio::awaitable<void> streamFromPeer(http_exchange &exchange, std::string id, std::string account, std::uint32_t next);
    boost::asio::awaitable<void> answerBufferedFromPeer(http_exchange &exchange, const std::shared_ptr<request_session> &session);
    boost::asio::awaitable<void> beginAndAnswer(http_exchange &exchange, const std::shared_ptr<request_session> &session);
    boost::asio::awaitable<void> answerStream(http_exchange &exchange, const std::shared_ptr<request_session> &session);
    boost::asio::awaitable<void> answerBuffered(http_exchange &exchange, const std::shared_ptr<request_session> &session);

    caller authenticate(const http_request &request) const;
    request_facts makeRequestFacts(const caller &client, const contract &route, service_kind kind);
    std::string newRequestId();

    request_host &m_host;
    std::string m_instanceName;
    std::uint64_t m_startTime; // clock ticks since the epoch; makes request ids unique across restarts
    std::atomic<std::uint64_t> m_requestCount{0};
};

} // namespace chicoryrouter
