// Grants slots, queues requests that have to wait, and counts the open requests and tokens of client accounts.
#include "chicoryrouter/dispatcher.h"

#include "chicoryrouter/bounded_counter.h"

#include <algorithm>

namespace chicoryrouter {

bool account_load::tryAcquire()
{
    demand.fetch_add(1, std::memory_order_relaxed);
    return tryIncrement(inFlight, limit);
}

void account_load::release()
{
    decrement(inFlight);
}

bool account_load::trySpendTokens(std::int64_t tokens)
{
    demand.fetch_add(static_cast<std::uint64_t>(tokens), std::memory_order_relaxed);
    if (!tokensLimited.load(std::memory_order_relaxed)) {
        tokensSpent.fetch_add(static_cast<std::uint64_t>(tokens), std::memory_order_relaxed);
        return true;
    }
    std::int64_t balance = tokensLeft.load(std::memory_order_relaxed);
    const std::int64_t reserved = tokensReserved.load(std::memory_order_relaxed);
    while (balance > reserved && !tokensLeft.compare_exchange_weak(balance, balance - tokens, std::memory_order_relaxed)) {
    }
    if (balance <= reserved) {
        return false;
    }
    tokensSpent.fetch_add(static_cast<std::uint64_t>(tokens), std::memory_order_relaxed);
    return true;
}

bool account_load::trySpendRanked(std::int64_t tokens, std::size_t rank)
{
    share.countAsked(rank, tokens);
    const bool admitted = !tokensLimited.load(std::memory_order_relaxed) || share.admits(rank);
    if (!admitted) {
        demand.fetch_add(static_cast<std::uint64_t>(tokens), std::memory_order_relaxed);
    }
    const bool spent = admitted && trySpendTokens(tokens);
    if (!spent) {
        share.countRefused(rank);
    }
    return spent;
}

void account_load::refill(std::int64_t perSecond, std::int64_t capacity, duration elapsed, std::int64_t spentByOthers, std::int64_t unreported)
{
    const bool first = !tokensLimited.exchange(true);
    tokensPerSecond = perSecond;
    tokensReserved = std::clamp<std::int64_t>(unreported, 0, capacity / 2);
    const auto earned = static_cast<std::int64_t>(static_cast<double>(perSecond) * std::chrono::duration<double>(elapsed).count());
    std::int64_t balance = tokensLeft.load(std::memory_order_relaxed);
    std::int64_t refilled = 0;
    do {
        refilled
            = first ? capacity : std::min(balance + earned - spentByOthers, capacity); // after a pause, `earned` and `spentByOthers` cover the same time span
    } while (!tokensLeft.compare_exchange_weak(balance, refilled, std::memory_order_relaxed));
}

void account_load::adjustBalance(std::int64_t change, std::int64_t perSecond, std::int64_t capacity, std::int64_t unreported)
{
    tokensPerSecond = perSecond;
    tokensReserved = std::clamp<std::int64_t>(unreported, 0, capacity / 2);
    const bool first = !tokensLimited;
    if (first) {
        tokensLeft = change;
        tokensLimited = true;
    } else {
        tokensLeft.fetch_add(change, std::memory_order_relaxed);
    }
}

duration account_load::retryAfter() const
{
    const double missing = static_cast<double>(std::max<std::int64_t>(1 + tokensReserved - tokensLeft, 1));
    const double rate = static_cast<double>(std::max<std::int64_t>(tokensPerSecond, 1));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / rate));
}

dispatcher::dispatcher(router_options options, std::size_t maxWaitingPerPriority)
    : m_options(options)
    , m_maxWaitingPerPriority(maxWaitingPerPriority)
{
}

void dispatcher::publish(std::shared_ptr<const routing_table> table)
{
    {
        const std::lock_guard guard(m_queuesLock);
        bool added = false;
        for (const service_table &item : table->services) {
            auto &queue = m_queues[item.service];
            if (queue == nullptr) {
                queue = std::make_unique<service_queue>();
                queue->queue = admission_queue(m_maxWaitingPerPriority);
                added = true;
            }
        }
        if (added) {
            auto index = std::make_shared<std::map<std::string, service_queue *>>();
            for (const auto &[name, queue] : m_queues) {
                (*index)[name] = queue.get();
            }
            m_queueIndex.publish(std::move(index));
        }
    }
    m_table.publish(std::move(table));
}

dispatcher::service_queue *dispatcher::queueOf(const std::string &service) const
{
    const auto &index = m_queueIndex.read();
    const auto found = index.find(service);
    return found == index.end() ? nullptr : found->second;
}

slot_answer dispatcher::tryRoute(const slot_request &request, seeded_random &random) const
{
    const service_table *service = m_table.read().find(request.service);
    if (service == nullptr) {
        return {slot_answer::outcome::Refused, nullptr, route_reason::LeastWait, error_kind::NoEndpoint};
    }
    const route_choice choice = chooseEndpoint(*service, request.query, m_options, random);
    if (choice.chosen == nullptr) {
        return {slot_answer::outcome::Queued, nullptr, choice.reason, error_kind::Overloaded};
    }
    return {slot_answer::outcome::Granted, *choice.chosen, choice.reason, error_kind::Internal, choice.predictedWait, choice.tokensToRead};
}

slot_answer dispatcher::acquire(const slot_request &request, seeded_random &random)
{
    service_queue *queue = queueOf(request.service);
    if (queue == nullptr) {
        return {slot_answer::outcome::Refused, nullptr, route_reason::LeastWait, error_kind::NoEndpoint};
    }
    // A new request must not overtake waiting ones: free slots go to them first.
    if (queue->waiting.load(std::memory_order_acquire) == 0) {
        slot_answer answer = tryRoute(request, random);
        if (answer.result != slot_answer::outcome::Queued) {
            return answer;
        }
    }
    const std::lock_guard guard(queue->lock);
    const bool queued = queue->queue.push({request.ticket, request.account, request.weight, request.rank, request.waitUntil, request.accepted});
    if (!queued) {
        return {slot_answer::outcome::Refused, nullptr, route_reason::LeastWait, error_kind::Overloaded};
    }
    queue->requests.emplace(request.ticket, request);
    queue->waiting.store(queue->queue.size(), std::memory_order_release);
    return {slot_answer::outcome::Queued, nullptr, route_reason::LeastWait, error_kind::Overloaded};
}

std::vector<served_ticket> dispatcher::serveWaiting(const std::string &service, time_point now, seeded_random &random)
{
    std::vector<served_ticket> served;
    service_queue *queue = queueOf(service);
    if (queue == nullptr || queue->waiting.load(std::memory_order_acquire) == 0) {
        return served;
    }
    const std::lock_guard guard(queue->lock);
    for (const waiting_request &expired : queue->queue.takeExpired(now)) {
        queue->requests.erase(expired.ticket);
        served.push_back({expired.ticket, {slot_answer::outcome::Refused, nullptr, route_reason::LeastWait, error_kind::QueueTimeout}});
    }
    // A request that gets no slot goes back to the queue. If its query avoids an endpoint, that may be the reason, and the next request is
    // tried; otherwise no slot is free.
    std::vector<waiting_request> unplaced;
    while (std::optional<waiting_request> next = queue->queue.pop()) {
        slot_answer answer = tryRoute(queue->requests.at(next->ticket), random);
        if (answer.result == slot_answer::outcome::Queued) {
            const bool avoidsAnEndpoint = queue->requests.at(next->ticket).query.excludedEndpoint != 0;
            unplaced.push_back(std::move(*next));
            if (avoidsAnEndpoint) {
                continue;
            }
            break;
        }
        queue->requests.erase(next->ticket);
        served.push_back({next->ticket, std::move(answer)});
    }
    for (waiting_request &item : unplaced) {
        queue->queue.putBack(std::move(item));
    }
    queue->waiting.store(queue->queue.size(), std::memory_order_release);
    return served;
}

bool dispatcher::withdraw(const std::string &service, std::uint64_t ticket)
{
    service_queue *queue = queueOf(service);
    if (queue == nullptr) {
        return false;
    }
    const std::lock_guard guard(queue->lock);
    const bool found = queue->queue.remove(ticket).has_value();
    queue->requests.erase(ticket);
    queue->waiting.store(queue->queue.size(), std::memory_order_release);
    return found;
}

std::size_t dispatcher::waiting(const std::string &service) const
{
    const service_queue *queue = queueOf(service);
    return queue == nullptr ? 0 : queue->waiting.load(std::memory_order_acquire);
}

std::vector<std::string> dispatcher::servicesWaiting() const
{
    std::vector<std::string> names;
    for (const auto &[name, queue] : m_queueIndex.read()) {
        if (queue->waiting.load(std::memory_order_acquire) > 0) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace chicoryrouter
