// The daemon's open and retired requests, its waiting tickets, and its retry budgets.
#include "shell/request_host.h"

#include "chicoryrouter/hash.h"
#include "chicoryrouter/stream_moves.h"
#include "shell/clock.h"
#include "shell/request_session.h"

#include <algorithm>

namespace chicoryrouter {

namespace {
constexpr std::size_t maxRetired = 2048; // about two minutes of requests at 15 per second
constexpr std::size_t maxRetiredBytes = 8 * 1024 * 1024;
} // namespace

request_host::request_host() = default;
request_host::~request_host() = default;

retry_budget &request_host::budgetOf(const std::string &service)
{
    const std::lock_guard guard(m_lock);
    auto &budget = m_budgets[service];
    if (budget == nullptr) {
        budget = std::make_unique<retry_budget>();
        budget->setReserve(m_retryReserve);
    }
    return *budget;
}

void request_host::divideRetryReserve(unsigned total, std::size_t daemons)
{
    const auto share = static_cast<std::int64_t>(total / std::max<std::size_t>(daemons, 1));
    const std::lock_guard guard(m_lock);
    m_retryReserve = total == 0 ? retry_budget::defaultReserve : std::clamp<std::int64_t>(share, 1, retry_budget::defaultReserve);
    for (const auto &[service, budget] : m_budgets) {
        budget->setReserve(m_retryReserve);
    }
}

void request_host::add(const std::shared_ptr<request_session> &session)
{
    const std::lock_guard guard(m_lock);
    m_sessions[session->facts().id] = session;
}

void request_host::retire(const std::shared_ptr<request_session> &session, std::size_t bytes)
{
    std::vector<std::shared_ptr<request_session>> removed; // destroyed outside the lock
    const std::lock_guard guard(m_lock);
    if (!keepsAnswers) {
        const auto found = m_sessions.find(session->facts().id);
        if (found != m_sessions.end() && found->second == session) {
            removed.push_back(std::move(found->second));
            m_sessions.erase(found);
        }
        return;
    }
    m_retired.push_back({session->facts().id, bytes});
    m_retiredBytes += bytes;
    while (m_retired.size() > maxRetired || m_retiredBytes > maxRetiredBytes) {
        const auto found = m_sessions.find(m_retired.front().id);
        if (found != m_sessions.end()) {
            removed.push_back(std::move(found->second));
            m_sessions.erase(found);
        }
        m_retiredBytes -= m_retired.front().bytes;
        m_retired.pop_front();
    }
}

std::shared_ptr<request_session> request_host::find(const std::string &requestId) const
{
    const std::lock_guard guard(m_lock);
    const auto found = m_sessions.find(requestId);
    return found == m_sessions.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<request_session>> request_host::openSessions() const
{
    std::vector<std::shared_ptr<request_session>> result;
    const std::lock_guard guard(m_lock);
    for (const auto &[id, session] : m_sessions) {
        if (!session->isClosed()) {
            result.push_back(session);
        }
    }
    return result;
}

std::size_t request_host::openCount() const
{
    return openSessions().size();
}

// A request that begins meanwhile is either among the open ones, or was added later and then reads the bounds itself.
void request_host::beginStop(const stop_bounds &bounds)
{
    m_stopBounds.publish(std::make_shared<stop_bounds>(bounds));
    for (const auto &session : openSessions()) {
        session->postStopping(bounds);
    }
}

void request_host::clear()
{
    std::map<std::string, std::shared_ptr<request_session>> removed; // destroyed outside the lock
    const std::lock_guard guard(m_lock);
    removed.swap(m_sessions);
}

void request_host::addWaiter(std::uint64_t ticket, const std::shared_ptr<request_session> &session)
{
    const std::lock_guard guard(m_lock);
    m_waiters[ticket] = session;
}

void request_host::removeWaiter(std::uint64_t ticket)
{
    const std::lock_guard guard(m_lock);
    m_waiters.erase(ticket);
}

void request_host::serveWaiting(const std::string &service, seeded_random &random)
{
    for (const served_ticket &served : slots.serveWaiting(service, systemNow(), random)) {
        std::shared_ptr<request_session> session;
        {
            const std::lock_guard guard(m_lock);
            const auto found = m_waiters.find(served.ticket);
            if (found != m_waiters.end()) {
                session = found->second.lock();
                m_waiters.erase(found);
            }
        }
        if (session != nullptr) {
            session->postSlotAnswer(served.answer);
        } else if (served.answer.result == slot_answer::outcome::Granted) {
            served.answer.target->load->release(); // the waiting request ended in the meantime
        }
    }
}

std::optional<std::uint64_t> request_host::quarantinedPart(const prompt_parts &parts) const
{
    const prompt_parts &quarantined = quarantinedParts.read();
    const auto found
        = std::find_if(parts.begin(), parts.end(), [&](std::uint64_t part) { return std::binary_search(quarantined.begin(), quarantined.end(), part); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

void request_host::endQuarantined()
{
    for (const auto &session : openSessions()) {
        if (quarantinedPart(session->facts().promptParts)) {
            session->postQuarantined();
        }
    }
}

void request_host::moveStreams(const reclaim_notice &notice)
{
    const std::uint64_t key = hashBytes(notice.endpointId);
    std::vector<stream_cost> streams;
    for (const auto &session : openSessions()) {
        if (session->currentEndpointKey() == key) {
            streams.push_back({session->facts().id, session->recomputeTokens(), move_method::Resume});
        }
    }
    planStreamMoves(streams, notice.leaveBy, systemNow());
    for (const stream_cost &stream : streams) {
        if (const auto session = find(stream.requestId)) {
            const move_method method = dialect->relaysAnswers ? move_method::Resume : stream.method; // relayed endpoints know no export
            session->postReclaimNotice(notice.endpointId, notice.leaveBy, method);
        }
    }
}

} // namespace chicoryrouter
