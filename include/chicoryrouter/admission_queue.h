// Requests that wait for a slot: bounded in count and time, by priority, and fair by weight between client accounts.
//
// A request in this queue is not accepted yet: it may be refused with `ran: no`. Once pop() has handed it out it is never shed.
// Between priorities: the more urgent first, but every `longTurn`-th hand-out goes to the least urgent one that waits, so long work
// is slowed and not starved. Within a priority: start-time fair queueing over the accounts, so an account with a thousand requests
// waiting delays another account's first request by one hand-out only.
// Not thread-safe: the dispatcher holds its lock.
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
    std::uint64_t ticket = 0; // names the request to its owner
    std::string account;
    double weight = 1.0; // the account's; above 0
    priority rank = priority::Normal;
    time_point waitUntil = noDeadline; // refused with QueueTimeout from this moment on
    bool accepted = false;             // was sent before (retry, move): queues past the bound, since it may not be shed any more
};

class admission_queue
{
public:
    explicit admission_queue(std::size_t maxPerPriority = 256);

    bool push(waiting_request item);                             // false: this priority's queue is full
    std::optional<waiting_request> pop();                        // next to be served; take the expired ones out first
    void putBack(waiting_request item);                          // popped, but could not be placed: next in its account again
    std::vector<waiting_request> takeExpired(time_point now);    // all whose wait is over
    std::optional<waiting_request> remove(std::uint64_t ticket); // its caller left
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] time_point nextExpiry() const; // noDeadline when empty

private:
    struct account_queue
    {
        double startTag = 0.0; // virtual time at which this account's next request starts
        std::deque<waiting_request> items;
    };

    struct priority_queue
    {
        double virtualTime = 0.0; // virtual time: start tag of the request served last
        std::size_t count = 0;
        std::map<std::string, account_queue> accounts; // only accounts with requests waiting
    };

    waiting_request popFrom(priority_queue &queue);
    priority_queue *nextPriority();

    std::size_t m_maxPerPriority;
    std::size_t m_size = 0; // sum of all counts
    std::uint64_t m_popCount = 0;
    std::array<priority_queue, static_cast<std::size_t>(priority::Count)> m_queues;
};

} // namespace chicoryrouter
