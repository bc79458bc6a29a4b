// What all requests of one daemon share, and what each request thread has of its own.
#pragma once

#include "chicoryrouter/dispatcher.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/retry_budget.h"
#include "shell/endpoint_dialect.h"
#include "shell/http.h"
#include "shell/metrics.h"
#include "shell/peer_link.h"
#include "shell/store_client.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chicoryrouter {

class request_session;

// A request thread's own tools. Used on that thread only.
struct request_thread
{
    request_thread(boost::asio::io_context &io,
        const address &keyValue,
        std::shared_ptr<store_counters> storeCounters,
        const std::string &peerKey,
        std::shared_ptr<peer_counters> peerCounters,
        std::uint64_t seed)
        : context(io)
        , client(io.get_executor())
        , store(io.get_executor(), keyValue, std::move(storeCounters))
        , peers(io.get_executor(), peerKey, std::move(peerCounters))
        , random(seed)
    {
    }

    boost::asio::io_context &context;
    http_client client;
    store_client store;
    peer_client peers;
    seeded_random random;
};

// Copies a request that must finish to a peer, keeps the copy current, and hands requests over. copy_keeper implements it.
class request_copier
{
public:
    virtual ~request_copier() = default;
    [[nodiscard]] virtual bool available() const = 0; // any thread: there is a peer to copy to

    // On the session's thread. True: a peer holds the request with its first `to` tokens, of which it was told those from `from` on.
    virtual boost::asio::awaitable<bool> copy(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) = 0;
    virtual boost::asio::awaitable<bool> handOver(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) = 0; // and goes on with it
    virtual void drop(const std::string &requestId) = 0; // any thread: the request is over
};

// Shared by all threads of a daemon.
class request_host
{
public:
    request_host();
    ~request_host();

    dispatcher slots;
    metrics counts;
    std::function<void(const attempt_outcome &)> onOutcome;         // set before the first request; called on request threads
    const dialect_table *dialect = &dialectTable<engine_dialect>(); // set before the first request
    bool keepsAnswers = true;                                       // false: what is over is forgotten, since no caller can ask for it again
    std::function<void(const std::string &account)> onFirstToken;        // an endpoint began to answer a request; may stay empty
    std::atomic<time_point> endpointsKnownAt{time_point{}};         // as of when, on the clock that counts suspension; the epoch: never heard
    request_copier *copier = nullptr;                               // null: no peers. Outlives every request

    retry_budget &budgetOf(const std::string &service); // any thread; lives as long as the host
    // Any thread. Divides the retries that all daemons may save up for a service; `all` zero: each has the usual reserve.
    void divideRetryReserve(unsigned total, std::size_t daemons);
    std::uint64_t nextTicket() { return m_tickets.fetch_add(1) + 1; }

    void add(const std::shared_ptr<request_session> &session);                       // findable until remove()
    void retire(const std::shared_ptr<request_session> &session, std::size_t bytes); // over: stays findable while there is room for it
    void clear();                                                                    // forgets all, once no request thread runs any more
    [[nodiscard]] std::shared_ptr<request_session> find(const std::string &requestId) const;
    [[nodiscard]] std::vector<std::shared_ptr<request_session>> openSessions() const;
    [[nodiscard]] std::size_t openCount() const;

    void addWaiter(std::uint64_t ticket, const std::shared_ptr<request_session> &session); // before dispatcher::acquire() may queue it
    void removeWaiter(std::uint64_t ticket);
    void serveWaiting(const std::string &service, seeded_random &random); // any thread: hands free slots to those who wait
    void moveStreams(const reclaim_notice &notice);                // any thread

private:
    struct retired_session
    {
        std::string id;
        std::size_t bytes = 0;
    };

    mutable std::mutex m_lock;
    std::map<std::string, std::unique_ptr<retry_budget>> m_budgets;
    std::int64_t m_retryReserve = retry_budget::defaultReserve;         // of each budget
    std::map<std::string, std::shared_ptr<request_session>> m_sessions; // open, or over and still held for callers
    std::deque<retired_session> m_retired;                              // oldest first; bounded in count and bytes
    std::size_t m_retiredBytes = 0;                                     // sum over m_retired
    std::map<std::uint64_t, std::weak_ptr<request_session>> m_waiters;  // by ticket
    std::atomic<std::uint64_t> m_tickets{0};
};

} // namespace chicoryrouter
