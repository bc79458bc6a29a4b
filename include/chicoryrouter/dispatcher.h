// Grants slots at endpoints to requests: the router picks an endpoint with a free slot; without one, the request waits in the admission
// queue of its service. The limits of client accounts (account_load) are checked by the caller, before a slot is requested.
//
// Index
//   account_load . slot_request . slot_answer . served_ticket . dispatcher
//
// dispatcher is thread-safe. If no request waits, acquire() takes no lock: it reads the published routing table and atomic counters.
// The lock of a service's queue is taken only while requests wait. After a slot is freed or a new table is published, call
// serveWaiting() and resume the requests whose tickets it returns.
#pragma once

#include "chicoryrouter/account_sharing.h"
#include "chicoryrouter/admission_queue.h"
#include "chicoryrouter/error.h"
#include "chicoryrouter/rcu_cell.h"
#include "chicoryrouter/router.h"
#include "chicoryrouter/routing_table.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chicoryrouter {

// Open requests and token balance of one client account at this daemon. Thread-safe: request threads and the control strand share it.
struct account_load
{
    std::atomic<std::uint32_t> inFlight{0};
    std::atomic<std::uint32_t> limit{0};  // this daemon's share of the account's limit on open requests
    std::atomic<std::uint64_t> demand{0}; // requests and tokens asked for, including refused ones; limits are divided between daemons by this demand

    std::atomic<bool> tokensLimited{false};       // the account has a token limit
    std::atomic<std::int64_t> tokensLeft{0};      // token balance as far as this daemon knows; may fall below zero, since a request may spend more than is left
    std::atomic<std::int64_t> tokensReserved{0};  // not spent by this daemon: other daemons may have spent them already without having reported it
    std::atomic<std::int64_t> tokensPerSecond{0}; // refill rate
    std::atomic<std::uint64_t> tokensSpent{0};    // tokens of the requests admitted by this daemon since its start

    std::atomic<bool> ranked{false}; // the limit of the account's window is shared by rank (`share`); set by the control strand
    account_share share;             // matters only where `ranked` is set

    bool tryAcquire();                        // counts one more open request; false if the limit is reached
    void release();                           // counts one open request less
    bool trySpendTokens(std::int64_t tokens); // spends them if tokensLeft is above tokensReserved, even if it then falls below zero; else false
    bool trySpendRanked(std::int64_t tokens, std::size_t rank); // the same, for an account whose limit is shared by rank; see accountRank()
    // Control strand only. `capacity`: upper limit of the balance. `elapsed`: time since the last refill. `spentByOthers`: tokens that other
    // daemons reported since then. `unreported`: tokens that they may have spent in addition.
    void refill(std::int64_t perSecond, std::int64_t capacity, duration elapsed, std::int64_t spentByOthers, std::int64_t unreported = 0);
    // Control strand only, in place of refill() where the limit applies to a sliding window (token_window.h). `change`: of the balance since the
    // last call, without this daemon's own spending; in the first call, the balance. `unreported`: as in refill(), at most half of `capacity`.
    void adjustBalance(std::int64_t change, std::int64_t perSecond, std::int64_t capacity, std::int64_t unreported);
    [[nodiscard]] duration retryAfter() const; // estimated time until a request can spend tokens again
};

struct slot_request
{
    std::uint64_t ticket = 0; // unique among waiting requests
    std::string service;
    std::string account;
    double weight = 1.0;
    priority rank = priority::Normal;
    time_point waitUntil = noDeadline;
    bool accepted = false; // accepted before, so it may wait but may not be shed
    route_query query;
};

struct slot_answer
{
    enum class outcome : std::uint8_t {
        Granted,
        Queued, // a later serveWaiting() returns the ticket of the request
        Refused,
    };

    outcome result = outcome::Refused;
    endpoint_ptr target; // endpoint whose slot was taken; null unless Granted
    route_reason reason = route_reason::LeastWait;
    error_kind kind = error_kind::NoEndpoint; // Refused only
    duration predictedWait{};                 // as in route_choice; Granted only
    std::uint32_t tokensToRead = 0;           // as in route_choice; Granted only
};

struct served_ticket
{
    std::uint64_t ticket = 0;
    slot_answer answer; // Granted or Refused
};

class dispatcher
{
public:
    explicit dispatcher(router_options options = {}, std::size_t maxWaitingPerPriority = 256);

    void publish(std::shared_ptr<const routing_table> table); // control strand only
    [[nodiscard]] std::shared_ptr<const routing_table> table() const { return m_table.share(); }

    slot_answer acquire(const slot_request &request, seeded_random &random);                                    // any thread
    std::vector<served_ticket> serveWaiting(const std::string &service, time_point now, seeded_random &random); // any thread
    bool withdraw(const std::string &service, std::uint64_t ticket); // removes a waiting request, for example when its caller left; false if it no longer waits
    [[nodiscard]] std::size_t waiting(const std::string &service) const;
    [[nodiscard]] std::vector<std::string> servicesWaiting() const;

private:
    // Waiting requests of one service.
    struct service_queue
    {
        mutable std::mutex lock;
        std::atomic<std::size_t> waiting{0}; // queue.size(), readable without the lock
        admission_queue queue;
        std::map<std::uint64_t, slot_request> requests; // by ticket; the same tickets as in `queue`
    };

    service_queue *queueOf(const std::string &service) const;
    slot_answer tryRoute(const slot_request &request, seeded_random &random) const;

    router_options m_options;
    std::size_t m_maxWaitingPerPriority;
    rcu_cell<routing_table> m_table;
    mutable std::mutex m_queuesLock; // guards insertion into m_queues; queues are never removed
    std::map<std::string, std::unique_ptr<service_queue>> m_queues;
    rcu_cell<std::map<std::string, service_queue *>> m_queueIndex; // pointers to the queues in m_queues, readable without the lock
};

} // namespace chicoryrouter
