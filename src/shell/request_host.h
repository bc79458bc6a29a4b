// request_host: the state that all requests of one daemon share. request_thread: the clients that each request thread owns.
// request_copier: the interface for copying a request to a peer.
#pragma once

#include "chicoryrouter/answer_limits.h"
#include "chicoryrouter/byte_pool.h"
#include "chicoryrouter/dispatcher.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/load_control.h"
#include "chicoryrouter/overload.h"
#include "chicoryrouter/prompt_quarantine.h"
#include "chicoryrouter/rcu_cell.h"
#include "chicoryrouter/retry_budget.h"
#include "chicoryrouter/stop_plan.h"
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
#include <optional>
#include <string>
#include <vector>

namespace chicoryrouter {

class request_session;

// The clients and the random generator of one request thread. Used on that thread only.
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

// Copies a request that must finish to a peer, updates the copy, and hands requests over to a peer. Implemented by copy_manager.
class request_copier
{
public:
    virtual ~request_copier() = default;
    [[nodiscard]] virtual bool available() const = 0; // any thread; true if there is a live peer to copy to

    // Call on the session's thread. Sends the tokens [from, to); completes with true if a peer now holds the request with its first `to` tokens.
    virtual boost::asio::awaitable<bool> copy(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) = 0;
    virtual boost::asio::awaitable<bool> handOver(std::shared_ptr<request_session> session, std::uint32_t from, std::uint32_t to) = 0; // peer resumes it
    virtual void drop(const std::string &requestId) = 0; // any thread; removes the peer's copy of a request that has ended
};

// Shared by all request threads of a daemon.
class request_host
{
public:
    request_host();
    ~request_host();

    dispatcher slots;
    metrics counts;
    load_control loadControl;
    overload_control overload;                                      // asked only while load control is on
    std::function<void(const attempt_outcome &)> onOutcome;         // set before the first request; called on request threads
    const dialect_table *dialect = &dialectTable<engine_dialect>(); // set before the first request
    bool keepsAnswers = true;                                       // false: a request is forgotten when it ends, because no caller can ask for it again
    std::function<void(const std::string &account)> onFirstToken;   // called when an endpoint begins to answer a request; may stay empty
    std::function<void(const endpoint_ptr &)> onLeavingAnswer;      // an endpoint said for the first time that it leaves; may stay empty
    std::function<void(prompt_outcome)> onPromptOutcome;            // called for prompts with known parts; may stay empty
    rcu_cell<prompt_parts> quarantinedParts;                        // in ascending order; requests with one of them are not sent to any endpoint
    std::atomic<time_point> endpointsKnownAt{time_point{}};         // bootTimeNow() as of the newest endpoint list, so suspension counts; the epoch: none yet
    std::atomic<time_point> loadKnownAt{time_point{}};              // when the other daemons told their load, on average; the epoch: none did
    answer_limits answerLimits;                                     // set before the first request; for requests that state no number of tokens
    // What is held for callers that have not read it, and request bodies: both together are a third of the memory of a process of 120 MB.
    std::shared_ptr<byte_pool> unreadBytes = std::make_shared<byte_pool>(byte_pool_limits{.total = 16 * 1024 * 1024, .always = 4 * 1024});
    // Answers in progress that are kept for callers that return.
    std::shared_ptr<byte_pool> keptBytes = std::make_shared<byte_pool>(byte_pool_limits{.total = 64 * 1024 * 1024, .always = 64 * 1024});
    // KV caches on their way through this daemon, from one endpoint to another.
    std::shared_ptr<byte_pool> transferBytes = std::make_shared<byte_pool>(byte_pool_limits{.total = 1024 * 1024 * 1024, .always = 0});
    std::shared_ptr<byte_pool> requestBytes = std::make_shared<byte_pool>(byte_pool_limits{.total = 24 * 1024 * 1024, .always = 16 * 1024});
    [[nodiscard]] const std::shared_ptr<byte_pool> &answerBytes() const { return keepsAnswers ? keptBytes : unreadBytes; } // for answers in progress
    request_copier *copier = nullptr; // null: no peers. Must outlive every request

    retry_budget &budgetOf(const std::string &service); // any thread; the reference is valid as long as the host
    // Any thread. Divides the retry reserve of each service, `total` for all daemons, evenly among them; `total` 0: each daemon has the
    // default reserve.
    void divideRetryReserve(unsigned total, std::size_t daemons);
    std::uint64_t nextTicket() { return m_tickets.fetch_add(1) + 1; }

    void add(const std::shared_ptr<request_session> &session);                       // find() returns it until it is retired and evicted
    void retire(const std::shared_ptr<request_session> &session, std::size_t bytes); // at the request's end; find() returns it until evicted
    // Any thread. The daemon stops: open requests, and those that are added from now on, end within these bounds.
    void beginStop(const stop_bounds &bounds);
    [[nodiscard]] const stop_bounds &stopBounds() const { return m_stopBounds.read(); } // any thread; noDeadline unless the daemon stops
    void clear();                                                                       // forgets all sessions; call after all request threads have stopped
    [[nodiscard]] std::shared_ptr<request_session> find(const std::string &requestId) const;
    [[nodiscard]] std::vector<std::shared_ptr<request_session>> openSessions() const;
    [[nodiscard]] std::size_t openCount() const;

    void addWaiter(std::uint64_t ticket, const std::shared_ptr<request_session> &session); // call before dispatcher::acquire(), which may queue the ticket
    void removeWaiter(std::uint64_t ticket);
    void serveWaiting(const std::string &service, seeded_random &random); // any thread; gives free slots to waiting requests
    void moveStreams(const reclaim_notice &notice);                       // any thread; moves the streams away from an endpoint that will be reclaimed
    [[nodiscard]] std::optional<std::uint64_t> quarantinedPart(const prompt_parts &parts) const; // any thread; the first one, if any
    void endQuarantined();                                                                       // any thread; ends the open requests that are quarantined

private:
    struct retired_session
    {
        std::string id;
        std::size_t bytes = 0;
    };

    rcu_cell<stop_bounds> m_stopBounds;
    mutable std::mutex m_lock;
    std::map<std::string, std::unique_ptr<retry_budget>> m_budgets;
    std::int64_t m_retryReserve = retry_budget::defaultReserve;         // reserve of each budget
    std::map<std::string, std::shared_ptr<request_session>> m_sessions; // by request id; open ones, and ended ones that callers may still read
    std::deque<retired_session> m_retired;                              // oldest first; at most maxRetired entries and maxRetiredBytes bytes
    std::size_t m_retiredBytes = 0;                                     // sum over m_retired
    std::map<std::uint64_t, std::weak_ptr<request_session>> m_waiters;  // waiting for a slot, by ticket
    std::atomic<std::uint64_t> m_tickets{0};
};

} // namespace chicoryrouter
