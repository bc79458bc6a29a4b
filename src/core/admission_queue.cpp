// Priorities and weighted fair queueing of waiting requests.
#include "chicoryrouter/admission_queue.h"

#include <algorithm>
#include <cassert>

namespace chicoryrouter {

namespace {
constexpr std::uint64_t leastUrgentInterval = 8; // every eighth pop serves the least urgent priority that has waiting requests
}

admission_queue::admission_queue(std::size_t maxPerPriority)
    : m_maxPerPriority(maxPerPriority)
{
}

bool admission_queue::push(waiting_request item)
{
    assert(item.weight > 0.0 && "the weight of an account must be above zero");
    priority_queue &queue = m_queues.at(static_cast<std::size_t>(item.rank));
    if (queue.count >= m_maxPerPriority && !item.accepted) {
        return false;
    }
    const auto [entry, inserted] = queue.accounts.try_emplace(item.account);
    if (inserted) {
        entry->second.startTag = queue.virtualTime;
    }
    entry->second.items.push_back(std::move(item));
    ++queue.count;
    ++m_size;
    return true;
}

admission_queue::priority_queue *admission_queue::nextPriority()
{
    const auto hasWaiting = [](const priority_queue &queue) {
        return queue.count > 0;
    };
    const bool leastUrgentTurn = (m_popCount + 1) % leastUrgentInterval == 0;
    if (leastUrgentTurn) {
        const auto found = std::find_if(m_queues.rbegin(), m_queues.rend(), hasWaiting);
        return found == m_queues.rend() ? nullptr : &*found;
    }
    const auto found = std::find_if(m_queues.begin(), m_queues.end(), hasWaiting);
    return found == m_queues.end() ? nullptr : &*found;
}

waiting_request admission_queue::popFrom(priority_queue &queue)
{
    const auto next
        = std::min_element(queue.accounts.begin(), queue.accounts.end(), [](const auto &a, const auto &b) { return a.second.startTag < b.second.startTag; });
    account_queue &account = next->second;
    waiting_request item = std::move(account.items.front());
    account.items.pop_front();
    queue.virtualTime = account.startTag;
    account.startTag += 1.0 / item.weight;
    --queue.count;
    --m_size;
    if (account.items.empty()) {
        queue.accounts.erase(next);
    }
    return item;
}

std::optional<waiting_request> admission_queue::pop()
{
    priority_queue *queue = nextPriority();
    if (queue == nullptr) {
        return std::nullopt;
    }
    ++m_popCount;
    return popFrom(*queue);
}

void admission_queue::putBack(waiting_request item)
{
    priority_queue &queue = m_queues.at(static_cast<std::size_t>(item.rank));
    const auto [entry, inserted] = queue.accounts.try_emplace(item.account);
    entry->second.startTag = inserted ? queue.virtualTime : entry->second.startTag - 1.0 / item.weight;
    entry->second.items.push_front(std::move(item));
    ++queue.count;
    ++m_size;
}

std::vector<waiting_request> admission_queue::takeExpired(time_point now)
{
    std::vector<waiting_request> expired;
    for (priority_queue &queue : m_queues) {
        for (auto account = queue.accounts.begin(); account != queue.accounts.end();) {
            auto &items = account->second.items;
            for (auto item = items.begin(); item != items.end();) {
                if (item->waitUntil > now) {
                    ++item;
                    continue;
                }
                expired.push_back(std::move(*item));
                item = items.erase(item);
                --queue.count;
                --m_size;
            }
            account = items.empty() ? queue.accounts.erase(account) : std::next(account);
        }
    }
    return expired;
}

std::optional<waiting_request> admission_queue::remove(std::uint64_t ticket)
{
    for (priority_queue &queue : m_queues) {
        for (auto account = queue.accounts.begin(); account != queue.accounts.end(); ++account) {
            auto &items = account->second.items;
            const auto found = std::find_if(items.begin(), items.end(), [&](const waiting_request &item) { return item.ticket == ticket; });
            if (found == items.end()) {
                continue;
            }
            waiting_request item = std::move(*found);
            items.erase(found);
            --queue.count;
            --m_size;
            if (items.empty()) {
                queue.accounts.erase(account);
            }
            return item;
        }
    }
    return std::nullopt;
}

time_point admission_queue::nextExpiry() const
{
    time_point earliest = noDeadline;
    for (const priority_queue &queue : m_queues) {
        for (const auto &[name, account] : queue.accounts) {
            for (const waiting_request &item : account.items) {
                earliest = std::min(earliest, item.waitUntil);
            }
        }
    }
    return earliest;
}

} // namespace chicoryrouter
