// State machine of one request. The functions are in the order of a request's life cycle.
#include "chicoryrouter/request_machine.h"

#include "chicoryrouter/prompt_quarantine.h"
#include "chicoryrouter/retry_budget.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr duration firstRetryDelay = 50ms;
constexpr duration maxRetryDelay = 2s;
constexpr duration minSilenceTimeout = 2s;
constexpr std::int64_t silenceTimeoutTargets = 20; // an attempt fails after a silence of this many token latency targets
constexpr std::int64_t overdueHalfTargets = 3;     // in halves of the first-token target: an attempt is overdue after 1.5 targets
constexpr duration minOverdueTimeout = 800ms;
constexpr std::uint32_t maxRetries = 3;      // for requests that are not must-finish
constexpr std::uint32_t maxProvedNotRun = 2; // sends allowed beyond the route's maxAttempts, if each provably did not run

template<typename... Parts>
void append(request_actions &actions, Parts &&...parts)
{
    (actions.push_back(std::forward<Parts>(parts)), ...);
}

void appendAll(request_actions &actions, request_actions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

} // namespace

request_facts makeFacts(std::string id, std::string account, const contract &route, service_kind kind, time_point arrival)
{
    request_facts facts;
    facts.id = std::move(id);
    facts.account = std::move(account);
    facts.route = route;
    facts.kind = kind;
    facts.arrival = arrival;
    facts.waitUntil = arrival + route.queueLimit;
    facts.deadline = arrival + route.deadline;
    return facts;
}

request_machine::request_machine(request_facts facts, retry_budget &budget)
    : m_facts(std::move(facts))
    , m_budget(budget)
    , m_delivered(m_facts.alreadyDelivered)
{
    m_query.prefix = m_facts.prefix;
    m_query.prefixTokens = m_facts.prefixTokens;
    m_query.promptTokens = m_facts.promptTokens;
}

// ---- Slots -----------------------------------------------------------------------------------------------------------------------------

request_actions request_machine::start(time_point)
{
    assert(m_sends == 0 && "start() must be called only once");
    return requestSlot(slot_purpose::First, m_facts.waitUntil);
}

request_actions request_machine::requestSlot(slot_purpose purpose, time_point waitUntil)
{
    assert(m_pendingPurpose == slot_purpose::None && "a slot request is already pending");
    m_pendingPurpose = purpose;
    m_retryAt = noDeadline;
    return {acquire_slot{m_query, waitUntil, isAccepted()}};
}

request_actions request_machine::onSlot(const endpoint_ptr &target, time_point now)
{
    const slot_purpose purpose = m_pendingPurpose;
    m_pendingPurpose = slot_purpose::None;
    if (m_over || purpose == slot_purpose::None) {
        return {release_slot{target}};
    }
    if (!target->load->acceptsNew()) {
        return requestOtherSlot(target, purpose);
    }
    m_heldSlot = target;
    m_heldSlotPurpose = purpose;
    if (purpose == slot_purpose::First && m_facts.needsCopy) {
        return {copy_to_peer{}};
    }
    const bool canTransfer = purpose == slot_purpose::Move && m_method == move_method::TransferKv && !m_attempts.empty();
    if (canTransfer) {
        return {transfer_kv{m_attempts.front().number, m_attempts.front().target, target, m_reclaimDeadline}};
    }
    return purpose == slot_purpose::First ? onCopied(now) : sendOnHeldSlot(false, now);
}

// Called when the endpoint of a granted slot stopped accepting new requests before the send: requests a slot at another endpoint.
request_actions request_machine::requestOtherSlot(const endpoint_ptr &released, slot_purpose purpose)
{
    request_actions actions{release_slot{released}};
    m_query.excludedEndpoint = released->key;
    appendAll(actions, requestSlot(purpose, purpose == slot_purpose::First ? m_facts.waitUntil : m_facts.deadline));
    return actions;
}

request_actions request_machine::onNoSlot(error_kind kind, time_point now)
{
    const slot_purpose purpose = m_pendingPurpose;
    m_pendingPurpose = slot_purpose::None;
    const bool hedgeNotNeeded = purpose == slot_purpose::Hedge && !m_attempts.empty();
    if (m_over || purpose == slot_purpose::None || hedgeNotNeeded) {
        return {};
    }
    if (purpose == slot_purpose::First) {
        return fail(kind);
    }
    const bool stillServed = purpose == slot_purpose::Move && !m_attempts.empty();
    if (stillServed || now < m_facts.deadline) {
        return scheduleRetry(now);
    }
    return fail(error_kind::DeadlinePassed);
}

// ---- Before the first send -------------------------------------------------------------------------------------------------------------

request_actions request_machine::onCopied(time_point now)
{
    if (m_over || m_heldSlot == nullptr) {
        return {};
    }
    return m_facts.needsClaim ? request_actions{make_claim{}} : sendOnHeldSlot(false, now);
}

request_actions request_machine::onClaimed(time_point now)
{
    return m_over || m_heldSlot == nullptr ? request_actions{} : sendOnHeldSlot(false, now);
}

request_actions request_machine::onClaimRefused(error_kind kind, time_point)
{
    return m_over ? request_actions{} : fail(kind);
}

request_actions request_machine::onReplayed(time_point)
{
    if (m_over) {
        return {};
    }
    request_actions actions;
    releaseAll(actions);
    m_over = true;
    append(actions, finish_request{1});
    return actions;
}

// ---- Sending ---------------------------------------------------------------------------------------------------------------------------

request_actions request_machine::sendOnHeldSlot(bool withKv, time_point now)
{
    const endpoint_ptr target = std::move(m_heldSlot);
    m_heldSlot = nullptr;
    const bool claimed = m_heldSlotPurpose == slot_purpose::First && m_facts.needsClaim; // once claimed, it is sent to the chosen endpoint in any case
    return claimed || target->load->acceptsNew() ? send(target, withKv, now) : requestOtherSlot(target, m_heldSlotPurpose);
}

request_actions request_machine::send(const endpoint_ptr &target, bool withKv, time_point now)
{
    request_actions actions;
    if (now >= m_facts.deadline) {
        append(actions, release_slot{target});
        appendAll(actions, fail(error_kind::DeadlinePassed));
        return actions;
    }
    // A moved stream replaces its draining attempt; a hedge runs beside the first attempt.
    for (std::size_t i = m_attempts.size(); i > 0; --i) {
        if (m_attempts[i - 1].draining) {
            closeAttempt(i - 1, attempt_result::Abandoned, true, actions);
        }
    }
    if (m_sends == 0) {
        m_budget.onFirstSend();
    }
    ++m_sends;
    if (m_delivered > 0) {
        m_query.version = target->version; // keep one answer on one version as long as that version may be used
    }
    if ((m_sends > 1 || m_facts.alreadyDelivered > 0) && !withKv) {
        m_recomputed += m_delivered;
    }
    m_attempts.push_back({m_sends, target, now, now + silenceTimeout(), now + overdueTimeout(), duration{}, false, false});
    append(actions, send_attempt{m_sends, target, m_delivered, withKv, wasSentTo(target->listenAddress)});
    m_sentTo.push_back(target->listenAddress);
    return actions;
}

// Compares addresses and not ids: connections are kept by address, whichever endpoint has it now.
bool request_machine::wasSentTo(const address &destination) const
{
    return std::find(m_sentTo.begin(), m_sentTo.end(), destination) != m_sentTo.end();
}

void request_machine::onSent(std::uint32_t number, time_point)
{
    if (attempt *openAttempt = findAttempt(number)) {
        openAttempt->byteMayHaveBeenSent = true;
    }
}

void request_machine::onBackpressureReleased(time_point now)
{
    for (attempt &open : m_attempts) {
        open.silenceDeadline = now + silenceTimeout();
    }
}

// ---- Answers ---------------------------------------------------------------------------------------------------------------------------

token_result request_machine::onToken(std::uint32_t number, std::string_view requestId, std::uint32_t index, time_point now)
{
    attempt *openAttempt = m_over || requestId != m_facts.id ? nullptr : findAttempt(number);
    if (openAttempt == nullptr || index < m_delivered) {
        return token_result::Drop;
    }
    if (index > m_delivered) {
        return token_result::Gap;
    }
    if (openAttempt->firstTokenLatency == duration{}) {
        openAttempt->firstTokenLatency = std::max(now - openAttempt->sentAt, duration(1));
        openAttempt->overdueAt = noDeadline;
    }
    openAttempt->silenceDeadline = now + silenceTimeout();
    ++m_delivered;
    return token_result::Deliver;
}

request_actions request_machine::onEnd(std::uint32_t number, std::string_view requestId, std::uint32_t tokens, time_point now)
{
    attempt *openAttempt = m_over || requestId != m_facts.id ? nullptr : findAttempt(number);
    if (openAttempt == nullptr) {
        return {};
    }
    if (tokens != m_delivered) {
        return onAttemptFailed(number, attempt_progress::MayHaveRun, error_kind::EndpointGarbage, now);
    }
    request_actions actions;
    const auto index = static_cast<std::size_t>(openAttempt - m_attempts.data());
    closeAttempt(index, attempt_result::Completed, false, actions);
    releaseAll(actions);
    m_over = true;
    append(actions, finish_request{tokens});
    return actions;
}

request_actions request_machine::onAttemptFailed(std::uint32_t number, attempt_progress progress, error_kind kind, time_point now)
{
    attempt *openAttempt = m_over ? nullptr : findAttempt(number);
    if (openAttempt == nullptr) {
        return {};
    }
    request_actions actions;
    const bool wasDraining = openAttempt->draining;
    const bool mayHaveBeenSent = progress == attempt_progress::MayHaveRun || (progress == attempt_progress::NotSent && openAttempt->byteMayHaveBeenSent);
    m_lastFailure = kind;
    exclude(openAttempt->target);
    m_provedNotRun += mayHaveBeenSent ? 0 : 1;
    const auto index = static_cast<std::size_t>(openAttempt - m_attempts.data());
    openAttempt->byteMayHaveBeenSent = mayHaveBeenSent;
    const bool unreachable = progress == attempt_progress::NotSent && !mayHaveBeenSent;
    const attempt_result resultIfSent = kind == error_kind::EndpointLost ? attempt_result::ConnectionLost : attempt_result::Failed;
    const attempt_result result = unreachable ? attempt_result::Unreachable : resultIfSent;
    closeAttempt(index, wasDraining ? attempt_result::Abandoned : result, false, actions);
    if (kind == error_kind::AnswerTooLong) {
        appendAll(actions, fail(kind)); // what the caller has of it is no answer that another attempt could continue
        return actions;
    }
    if (!m_attempts.empty() || m_heldSlot != nullptr) {
        return actions; // the other attempt, or the one that already holds a slot, continues alone
    }
    const bool repeatForbidden = mayHaveBeenSent && !mayRepeat();
    if (repeatForbidden) {
        appendAll(actions, fail(kind));
    } else if (m_pendingPurpose == slot_purpose::None) {
        appendAll(actions, wasDraining ? requestSlot(slot_purpose::Move, m_facts.deadline) : scheduleRetry(now));
    }
    return actions;
}

// maxAttempts of the route limits the attempts that may have run. The attempts that provably did not run have a limit of their own.
bool request_machine::attemptsLeft() const
{
    if (m_facts.route.maxAttempts == 0) {
        return m_facts.route.mustFinish || m_retries < maxRetries;
    }
    const std::uint32_t possibleRuns = m_sends - std::min(m_sends, m_provedNotRun);
    return possibleRuns < m_facts.route.maxAttempts && m_provedNotRun <= maxProvedNotRun;
}

request_actions request_machine::scheduleRetry(time_point now)
{
    if (!attemptsLeft() && m_attempts.empty()) {
        return fail(m_lastFailure);
    }
    const bool retryImmediately = m_facts.route.maxAttempts > 0 && m_retries == 0; // routes with few attempts do not delay the first retry
    const duration delay = retryImmediately ? duration{} : std::min(firstRetryDelay * (1U << std::min(m_retries, 6U)), maxRetryDelay);
    ++m_retries;
    m_retryAt = std::min(now + delay, m_facts.deadline);
    return {};
}

// ---- Reclaims --------------------------------------------------------------------------------------------------------------------------

request_actions request_machine::onReclaimNotice(std::string_view endpointId, time_point reclaimDeadline, move_method method, time_point)
{
    const auto affected = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const attempt &open) { return open.target->id == endpointId; });
    if (m_over || affected == m_attempts.end() || affected->draining || !mayRepeat()) {
        return {}; // a non-repeatable request stays at its endpoint
    }
    affected->draining = true;
    m_query.excludedEndpoint = affected->target->key;
    m_reclaimDeadline = reclaimDeadline;
    m_method = method;
    const bool othersOpen = m_attempts.size() > 1;
    if (othersOpen || m_pendingPurpose != slot_purpose::None || m_heldSlot != nullptr) {
        return {}; // the other attempt, the pending slot or the held slot takes over
    }
    return requestSlot(slot_purpose::Move, m_facts.deadline);
}

request_actions request_machine::onTransferred(bool succeeded, time_point now)
{
    if (m_over || m_heldSlot == nullptr) {
        return {};
    }
    return sendOnHeldSlot(succeeded, now);
}

// ---- Caller and timers -----------------------------------------------------------------------------------------------------------------

request_actions request_machine::onCallerGone(time_point)
{
    const bool keepsRunning
        = !m_facts.route.streamed && !mayRepeat() && mayHaveRun(); // a started non-repeatable call runs to its end, but a stream is useless without its caller
    const bool goesOn = m_facts.route.mustFinish || keepsRunning;
    if (m_over || goesOn) {
        return {};
    }
    return fail(error_kind::CallerGone);
}

request_actions request_machine::onQuarantined(time_point)
{
    const bool provedSound = m_delivered >= answeredAfterPieces;
    return m_over || provedSound ? request_actions{} : fail(error_kind::PromptQuarantined);
}

request_actions request_machine::onHandedOver(time_point)
{
    request_actions actions;
    releaseAll(actions);
    m_over = true;
    return actions;
}

request_actions request_machine::onStopping(const stop_bounds &bounds, time_point now)
{
    if (m_over || m_facts.route.mustFinish) {
        return {}; // a peer that holds a copy of a must-finish request continues it; an end here would drop the copy
    }
    m_stop = bounds;
    return onTimer(now);
}

// When the stop of the daemon ends the request if nothing changes. A caller that has pieces of its answer gets more of them until the daemon
// closes the connection.
time_point request_machine::stopDeadline() const
{
    if (m_delivered > 0) {
        return noDeadline;
    }
    return m_attempts.empty() ? m_stop.sendUntil : m_stop.answerUntil;
}

request_actions request_machine::onTimer(time_point now)
{
    if (m_over) {
        return {};
    }
    if (now >= m_facts.deadline) {
        return fail(error_kind::DeadlinePassed);
    }
    if (now >= stopDeadline()) {
        return fail(mayHaveRun() ? error_kind::StoppedUnanswered : error_kind::ShuttingDown);
    }
    const auto timedOut = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const attempt &open) { return now >= open.silenceDeadline; });
    if (timedOut != m_attempts.end()) {
        const attempt silent = *timedOut;
        const bool mayHaveBeenSent = silent.byteMayHaveBeenSent;
        request_actions actions{cancel_attempt{silent.number, silent.target}};
        appendAll(actions,
            onAttemptFailed(silent.number, mayHaveBeenSent ? attempt_progress::MayHaveRun : attempt_progress::NotSent, error_kind::EndpointFailed, now));
        return actions;
    }
    const auto overdue = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const attempt &open) { return now >= open.overdueAt; });
    if (overdue != m_attempts.end()) {
        overdue->overdueAt = noDeadline;
        return {report_overdue{overdue->target}};
    }
    if (now >= m_retryAt && m_pendingPurpose == slot_purpose::None) {
        const bool moving = !m_attempts.empty();
        if (moving || m_budget.trySpend(now)) {
            return requestSlot(moving ? slot_purpose::Move : slot_purpose::Retry, m_facts.deadline);
        }
        const bool failNow = m_facts.route.maxAttempts > 0; // fail at once: the caller can retry sooner than the budget recovers
        return failNow ? fail(m_lastFailure) : scheduleRetry(now);
    }
    if (now >= hedgeAt()) {
        m_hedged = true;
        if (m_budget.trySpend(now)) {
            m_query.excludedEndpoint = m_attempts.front().target->key;
            return requestSlot(slot_purpose::Hedge, m_facts.deadline);
        }
    }
    return {};
}

time_point request_machine::nextDeadline() const
{
    if (m_over) {
        return noDeadline;
    }
    time_point next = std::min({m_facts.deadline, m_retryAt, hedgeAt(), stopDeadline()});
    for (const attempt &open : m_attempts) {
        next = std::min({next, open.silenceDeadline, open.overdueAt});
    }
    return next;
}

time_point request_machine::hedgeAt() const
{
    const bool mayHedge = m_facts.kind == service_kind::Plain && m_facts.route.repeatable && m_facts.route.firstTokenTarget > duration{};
    const bool onlyOneOpen = m_attempts.size() == 1 && attemptsLeft() && m_pendingPurpose == slot_purpose::None && m_heldSlot == nullptr;
    if (!mayHedge || m_hedged || !onlyOneOpen) {
        return noDeadline;
    }
    return m_attempts.front().sentAt + m_facts.route.firstTokenTarget;
}

duration request_machine::overdueTimeout() const
{
    const duration target = m_facts.route.firstTokenTarget;
    return target > duration{} && m_facts.route.maxAttempts > 0 ? std::max(target * overdueHalfTargets / 2, minOverdueTimeout)
                                                                : duration(std::chrono::hours(24));
}

duration request_machine::silenceTimeout() const
{
    const bool cannotMove = m_facts.route.streamed && !mayRepeat(); // closing it would not help: the stream cannot continue elsewhere
    if (m_facts.kind == service_kind::Plain || cannotMove) {
        return m_facts.route.deadline;
    }
    const duration target = std::max(m_facts.route.betweenTokensTarget, m_delivered == 0 ? m_facts.route.firstTokenTarget : duration{});
    return std::max(target * silenceTimeoutTargets, minSilenceTimeout);
}

// ---- Ends ------------------------------------------------------------------------------------------------------------------------------

request_actions request_machine::fail(error_kind kind)
{
    request_actions actions;
    releaseAll(actions);
    m_over = true;
    append(actions, fail_request{kindToReport(kind)});
    return actions;
}

error_kind request_machine::kindToReport(error_kind kind) const
{
    const bool claimsNotRun = responseFor(kind).ran == ran_state::No;
    if (claimsNotRun && (m_closedMayHaveRun || m_facts.wasAccepted)) {
        return error_kind::EndpointFailed;
    }
    return kind == error_kind::DeadlinePassed && !isAccepted() ? error_kind::QueueTimeout : kind;
}

void request_machine::releaseAll(request_actions &actions)
{
    while (!m_attempts.empty()) {
        closeAttempt(m_attempts.size() - 1, attempt_result::Abandoned, true, actions);
    }
    if (m_heldSlot != nullptr) {
        append(actions, release_slot{std::move(m_heldSlot)});
        m_heldSlot = nullptr;
    }
}

void request_machine::closeAttempt(std::size_t index, attempt_result result, bool cancelAtEndpoint, request_actions &actions)
{
    const attempt closed = m_attempts[index];
    m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(index));
    m_closedMayHaveRun = m_closedMayHaveRun || closed.byteMayHaveBeenSent;
    if (cancelAtEndpoint) {
        append(actions, cancel_attempt{closed.number, closed.target});
    }
    append(actions, release_slot{closed.target, result, closed.firstTokenLatency});
}

bool request_machine::mayRetry() const
{
    return mayRepeat() && attemptsLeft();
}

bool request_machine::mayHaveRun() const
{
    return m_closedMayHaveRun || std::any_of(m_attempts.begin(), m_attempts.end(), [](const attempt &open) { return open.byteMayHaveBeenSent; });
}

void request_machine::exclude(const endpoint_ptr &failed)
{
    auto &excluded = m_query.failedEndpoints;
    if (std::find(excluded.begin(), excluded.end(), failed->key) != excluded.end()) {
        return;
    }
    std::rotate(excluded.rbegin(), excluded.rbegin() + 1, excluded.rend());
    excluded.front() = failed->key;
}

const request_machine::attempt *request_machine::findAttempt(std::uint32_t number) const
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const attempt &open) { return open.number == number; });
    return found == m_attempts.end() ? nullptr : &*found;
}

request_machine::attempt *request_machine::findAttempt(std::uint32_t number)
{
    return const_cast<attempt *>(std::as_const(*this).findAttempt(number));
}

duration request_machine::firstTokenLatency(std::uint32_t number) const
{
    const attempt *openAttempt = findAttempt(number);
    return openAttempt == nullptr ? duration{} : openAttempt->firstTokenLatency;
}

bool request_machine::mayRepeat() const
{
    return m_facts.route.repeatable;
}

endpoint_ptr request_machine::currentEndpoint() const
{
    return m_attempts.empty() ? nullptr : m_attempts.back().target;
}

std::string_view toText(attempt_progress progress)
{
    constexpr std::array<std::string_view, 3> names = {"not_sent", "proved_not_run", "may_have_run"};
    return names.at(static_cast<std::size_t>(progress));
}

} // namespace chicoryrouter
