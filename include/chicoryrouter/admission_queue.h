// Queue of requests that wait for a slot: bounded in length and in waiting time, ordered by priority, with weighted fairness between
// client accounts.
//
// A queued request is not accepted yet, so it may be refused with `ran: no` (it did not run). A request returned by pop() is not shed any more.
// Between priorities: pop() serves the most urgent priority, but every `leastUrgentInterval`-th pop serves the least urgent one with
// waiting requests, so that long-running work is slowed down but never starved.
// Within a priority: start-time fair queueing over the accounts, so that an account with a thousand waiting requests delays the first
// request of another account by one pop only.
// Not thread-safe: the dispatcher calls it with the lock of the service's queue held.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryrouter {

struct waiting_request
{
    std::uint64_t ticket = 0; // identifies the request in the dispatcher
    std::string account;
    double weight = 1.0; // of the account; above 0
    priority rank = priority::Normal;
    time_point waitUntil = noDeadline; // expires at this moment and is refused with QueueTimeout
    bool accepted = false;             // accepted before (retry or move): queued even if the queue is full, since it may not be shed any more
};

class admission_queue
{
public:
    explicit admission_queue(std::size_t maxPerPriority = 256);

    bool push(waiting_request item);                             // false if the queue of this priority is full
    std::optional<waiting_request> pop();                        // next request to serve, if any; call takeExpired() first
    void putBack(waiting_request item);                          // returns a popped request that got no slot to the front of its account
    std::vector<waiting_request> takeExpired(time_point now);    // removes and returns all expired requests
    std::optional<waiting_request> remove(std::uint64_t ticket); // removes one request, for example when its caller left
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] time_point nextExpiry() const; // earliest waitUntil; noDeadline if the queue is empty

private:
    struct account_queue
    {
        double startTag = 0.0; // virtual time at which the account's next request starts
        std::deque<waiting_request> items;
    };

    struct priority_queue
    {
        double virtualTime = 0.0; // start tag of the request served last
        std::size_t count = 0;
        std::map<std::string, account_queue> accounts; // accounts with waiting requests only
    };

    waiting_request popFrom(priority_queue &queue);
    priority_queue *nextPriority();

    std::size_t m_maxPerPriority;
    std::size_t m_size = 0; // sum of the counts of all priorities
    std::uint64_t m_popCount = 0;
    std::array<priority_queue, static_cast<std::size_t>(priority::Count)> m_queues;
};

} // namespace chicoryrouter
