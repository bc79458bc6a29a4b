// The callers' interface: accounts, routes, completions, plain services, re-attaching, health and metrics.
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

// What the gateway needs of the configuration; published whole by the control strand.
struct gateway_config
{
    std::shared_ptr<const revisioned_document> document = std::make_shared<revisioned_document>();
    std::unordered_map<std::string, account_entry> accounts; // by token hash
};

// Answers requests that are held at another entry instance. The peer link implements it.
class remote_request_source
{
public:
    virtual ~remote_request_source() = default;
    // Tokens of the request from index `from` on, waiting up to `deadline` for more. Empty when no peer holds it.
    struct fetch_result
    {
        bool found = false;
        bool ended = false;
        bool failed = false;
        error_kind failure = error_kind::Internal;
        std::vector<std::string> tokens;
    };
    virtual boost::asio::awaitable<fetch_result> fetch(std::string requestId, std::string account, std::uint32_t from, time_point deadline) = 0;
};

class gateway
{
public:
    gateway(request_host &host, std::string instanceName);

    rcu_cell<gateway_config> config;
    std::atomic<bool> stopping{false};         // no new work; what is open goes on
    std::atomic<bool> peersKnown{false};       // an instance list was seen, or none came for a while: not ready before
    std::atomic<std::size_t> activeCallers{0}; // callers being answered right now
    std::function<void(metrics &)> updateGauges;     // called before metrics are shown; may stay empty
    http_handler operatorHandler;                // answers /operator/...; set before the first request
    remote_request_source *peers = nullptr;          // null: none

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    [[nodiscard]] bool isReady() const; // holds a document, knows its peers, and takes new work

    static void bindThread(request_thread *thread); // once on each request thread, before it serves
    static request_thread &currentThread();

private:
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
    boost::asio::awaitable<void> answer(http_exchange &exchange, const std::shared_ptr<request_session> &session, std::uint32_t from);
    boost::asio::awaitable<void> answerStream(http_exchange &exchange, const std::shared_ptr<request_session> &session, std::uint32_t from);
    boost::asio::awaitable<void> answerBuffered(http_exchange &exchange, const std::shared_ptr<request_session> &session);

    caller authenticate(const http_request &request) const;
    request_facts makeRequestFacts(const caller &client, const contract &route, service_kind kind);
    std::string newRequestId();

    request_host &m_host;
    std::string m_instanceName;
    std::uint64_t m_startTime; // makes request ids unique over restarts
    std::atomic<std::uint64_t> m_requestCount{0};
};

} // namespace chicoryrouter
