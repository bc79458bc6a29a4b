// Hands out slots: the router where one is free, the admission queue where none is, client account limits before both.
//
// Thread-safe. The usual path takes no lock: it reads the published table and atomic counters. The lock of a service's queue is taken
// only when requests wait. Whoever frees a slot, or publishes a new table, calls serveWaiting() and resumes the tickets it returns.
#pragma once

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

// One client account's open requests at this daemon. `limit` is this daemon's part of the account's limit.
struct account_load
{
    std::atomic<std::uint32_t> inFlight{0};
    std::atomic<std::uint32_t> limit{0};
    std::atomic<std::uint64_t> demand{0}; // requests seen, refused ones included: the demand by which limits are divided

    std::atomic<bool> tokensLimited{false};       // tokens are limited
    std::atomic<std::int64_t> tokensLeft{0};      // of the account's limit, as far as is known here; below zero: spent ahead
    std::atomic<std::int64_t> tokensReserved{0};  // not taken here: other daemons may have spent so many already and not told yet
    std::atomic<std::int64_t> tokensPerSecond{0}; // at which they come back
    std::atomic<std::uint64_t> tokensSpent{0};    // tokens of admitted requests, here, since the start

    bool tryAcquire(); // counts one request in; false when the limit is reached
    void release();
    bool trySpendTokens(std::int64_t tokens); // takes them when more than `tokensKept` are left, also more than are left; else false
    // Control strand only. `untold`: what others may have spent beside what they told.
    void refill(std::int64_t perSecond, std::int64_t capacity, duration elapsed, std::int64_t spentElsewhere, std::int64_t unreported = 0);
    [[nodiscard]] duration retryAfter() const; // time until tokens are left again
};

struct slot_request
{
    std::uint64_t ticket = 0; // unique among waiting requests
    std::string service;
    std::string account;
    double weight = 1.0;
    priority rank = priority::Normal;
    time_point waitUntil = noDeadline;
    bool accepted = false; // may wait, may not be shed
    route_query query;
};

struct slot_answer
{
    enum class outcome : std::uint8_t {
        Granted,
        Queued, // a later serveWaiting() names this ticket
        Refused,
    };

    outcome result = outcome::Refused;
    endpoint_ptr target; // Granted only; the slot is taken
    route_reason reason = route_reason::LeastWait;
    error_kind kind = error_kind::NoEndpoint; // Refused only
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
    bool withdraw(const std::string &service, std::uint64_t ticket);                                            // its caller left; false: already served
    [[nodiscard]] std::size_t waiting(const std::string &service) const;
    [[nodiscard]] std::vector<std::string> servicesWaiting() const;

private:
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
    mutable std::mutex m_queuesLock; // guards the map's shape; queues are never removed
    std::map<std::string, std::unique_ptr<service_queue>> m_queues;
    rcu_cell<std::map<std::string, service_queue *>> m_queueIndex; // the same, readable without the lock
};

} // namespace chicoryrouter
