// Performs the actions of one request's request_machine, and serves the readers of its answer.
#include "shell/request_session.h"

#include "chicoryrouter/stream_moves.h"
#include "chicoryrouter/units.h"
#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/context_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration roomCheckInterval = 50ms;   // another request may have given its bytes back
constexpr std::uint32_t maxUnreadTokens = 512; // of an answer that is kept for callers that return
constexpr std::size_t maxHistoryBytes = 4096;
constexpr std::uint32_t bytesPerPromptToken = 4;  // estimate; used only to order stream moves by cost
constexpr std::size_t kvBytesSlack = 1024 * 1024; // of an exported KV cache beyond the estimate of its size

// A function of its own, so that the budget is looked up before `facts` is moved from.
request_machine machineFor(request_host &host, request_facts facts)
{
    retry_budget &budget = host.budgetOf(facts.route.service);
    return {std::move(facts), budget};
}

} // namespace

request_session::request_session(request_host &host, request_thread &thread, request_facts facts, request_payload payload)
    : m_host(host)
    , m_thread(thread)
    , m_payload(std::move(payload))
    , m_machine(machineFor(host, std::move(facts)))
    , m_answerLimits(limitsFor(m_machine.facts().outputTokens, host.answerLimits))
    , m_changeSignal(thread.context, asio::steady_timer::time_point::max())
    , m_backpressureSignal(thread.context, asio::steady_timer::time_point::max())
    , m_timer(thread.context)
    , m_held(host.answerBytes())
{
}

void request_session::begin(const std::vector<std::string> &deliveredTokens)
{
    if (m_machine.isOver()) {
        return; // its caller has left
    }
    m_tokens.assign(deliveredTokens);
    m_tokenCount = m_tokens.size();
    countHeld();
    m_host.add(shared_from_this());
    const bool quarantinedSinceAdmission = m_host.quarantinedPart(facts().promptParts).has_value();
    perform(quarantinedSinceAdmission ? m_machine.onQuarantined(systemNow()) : m_machine.start(systemNow()));
    const stop_bounds &stop = m_host.stopBounds(); // after add(), so that a stop that begins now is seen here or tells this request
    if (stop.answerUntil != noDeadline) {
        perform(m_machine.onStopping(stop, systemNow()));
    }
}

// ---- Readers ---------------------------------------------------------------------------------------------------------------------------

std::uint32_t request_session::readable() const
{
    return m_showOnlyCopied ? std::min(m_copiedTokens, m_tokens.size()) : m_tokens.size();
}

std::string request_session::text(std::uint32_t maxTokens) const
{
    return std::string(m_tokens.upTo(maxTokens));
}

asio::awaitable<void> request_session::waitForChange()
{
    boost::system::error_code ignored;
    co_await m_changeSignal.async_wait(storeErrorIn(ignored));
}

asio::awaitable<void> request_session::waitForChangeUntil(time_point deadline)
{
    const auto self = shared_from_this();
    asio::steady_timer limit(m_thread.context, steadyAt(deadline));
    limit.async_wait([self](const boost::system::error_code &code) {
        if (!code) {
            self->m_changeSignal.cancel(); // also wakes the other readers, which check their condition and wait again
        }
    });
    co_await waitForChange();
}

void request_session::notifyReaders()
{
    m_changeSignal.cancel();
}

void request_session::onReaderProgress(std::uint32_t index)
{
    m_readUpTo = index;
    countHeld();
    if (!readersAreBehind()) {
        m_backpressureSignal.cancel();
    }
}

void request_session::onReaderLeft()
{
    m_readUpTo = m_tokens.size();
    countHeld();
}

void request_session::onCallerReturned()
{
    m_hasReaders = true;
    countHeld();
}

void request_session::markWithoutReaders()
{
    m_hasReaders = false;
    countHeld();
}

// The bytes stay counted until the session goes, as the reader still has to write them.
std::string request_session::takeText()
{
    return forgetsReadTokens() ? m_tokens.take() : text();
}

// No other reader can ask for them, and no peer.
bool request_session::forgetsReadTokens() const
{
    return !m_host.keepsAnswers && m_host.copier == nullptr;
}

// Forgets what nobody can ask for any more, and counts the rest.
void request_session::countHeld()
{
    if (forgetsReadTokens()) {
        m_tokens.forgetBefore(m_hasReaders ? m_readUpTo : m_tokens.size());
    }
    const bool countedAsRetired = m_closed && m_host.keepsAnswers; // also while callers still read it
    m_held.set(countedAsRetired ? 0 : m_tokens.heldBytes());
}

void request_session::addToken(std::string token)
{
    m_tokens.append(std::move(token));
    m_tokenCount = m_tokens.size();
    countHeld();
}

void request_session::onCallerGone()
{
    markWithoutReaders();
    m_backpressureSignal.cancel();
    perform(m_machine.onCallerGone(systemNow()));
}

asio::awaitable<void> request_session::waitForReaders()
{
    if (readersAreBehind() && !m_machine.isOver()) {
        m_held.countRefusal();
    }
    while (readersAreBehind() && !m_machine.isOver()) {
        boost::system::error_code ignored;
        m_backpressureSignal.expires_after(roomCheckInterval);
        co_await m_backpressureSignal.async_wait(storeErrorIn(ignored));
        m_machine.onBackpressureReleased(systemNow());
    }
}

// Whether as much is held for the callers as may be: the endpoint is not read on until they have read some of it. Engines whose answers are kept
// for callers that return wait for their reader, so there few tokens are enough; relayed endpoints may cut off an answer that stays unread.
bool request_session::readersAreBehind() const
{
    const bool manyTokens = m_host.keepsAnswers && m_tokens.size() >= m_readUpTo + maxUnreadTokens;
    return m_hasReaders && (manyTokens || !m_held.mayHave(m_held.bytes() + 1));
}

// Counts the bytes of an attempt's answer that are no piece yet; waits until there is room where they have grown. They can't be passed on before they
// are a whole piece, so only other requests can make room.
asio::awaitable<void> request_session::waitForRoom(std::shared_ptr<open_attempt> open, std::size_t bytes)
{
    if (open->arriving.tryGrowTo(bytes)) {
        co_return;
    }
    while (!m_machine.isOver() && !open->cancelled && !open->arriving.mayHave(bytes)) {
        boost::system::error_code ignored;
        m_backpressureSignal.expires_after(roomCheckInterval);
        co_await m_backpressureSignal.async_wait(storeErrorIn(ignored));
        m_machine.onBackpressureReleased(systemNow());
    }
    open->arriving.set(bytes);
}

// ---- Actions ---------------------------------------------------------------------------------------------------------------------------

void request_session::perform(request_actions actions)
{
    for (request_action &action : actions) {
        std::visit([this](const auto &each) { perform(each); }, action);
    }
    const endpoint_ptr current = m_machine.currentEndpoint();
    m_currentEndpointKey = current == nullptr ? 0 : current->key;
    armTimer();
}

void request_session::armTimer()
{
    if (m_machine.isOver()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(steadyAt(m_machine.nextDeadline()));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &code) {
        if (code || self->m_machine.isOver()) {
            return;
        }
        if (self->readersAreBehind()) {
            self->m_machine.onBackpressureReleased(systemNow()); // no data arrived because we stopped reading, so the silence is not the endpoint's
        }
        self->perform(self->m_machine.onTimer(systemNow()));
    });
}

void request_session::perform(const acquire_slot &action)
{
    const request_facts &facts = m_machine.facts();
    slot_request slotRequest;
    slotRequest.ticket = m_host.nextTicket();
    slotRequest.service = facts.route.service;
    slotRequest.account = facts.account;
    slotRequest.weight = facts.weight;
    slotRequest.rank = facts.route.rank;
    slotRequest.waitUntil = action.waitUntil;
    slotRequest.accepted = action.accepted;
    slotRequest.query = action.query;
    slotRequest.query.byWait = m_host.loadControl.isOn();
    m_ticket = slotRequest.ticket;
    m_slotRequestedAt = systemNow();
    m_host.addWaiter(slotRequest.ticket, shared_from_this());
    const slot_answer answer = m_host.slots.acquire(slotRequest, m_thread.random);
    if (answer.result == slot_answer::outcome::Queued) {
        recordEvent(log_event::RequestWaits,
            {{"service", facts.route.service}, {"waiting", m_host.slots.waiting(facts.route.service)},
                {"wait_left_ms", inMilliseconds(action.waitUntil - systemNow())}});
        m_host.serveWaiting(facts.route.service, m_thread.random); // a slot may have become free between the check and the queueing
        return;
    }
    m_host.removeWaiter(slotRequest.ticket);
    onSlotAnswer(answer); // safe to call back here: the machine has returned its actions, and acquire_slot is the last of them
}

void request_session::postSlotAnswer(const slot_answer &answer)
{
    asio::post(m_thread.context, [self = shared_from_this(), answer] { self->onSlotAnswer(answer); });
}

void request_session::onSlotAnswer(const slot_answer &answer)
{
    m_ticket = 0;
    m_host.counts.observe(latency::Wait, facts().route.route, systemNow() - m_slotRequestedAt);
    if (answer.result == slot_answer::outcome::Granted) {
        m_predictedWait = answer.predictedWait;
        m_tokensToRead = answer.tokensToRead;
        recordPlacement(answer);
        perform(m_machine.onSlot(answer.target, systemNow()));
        return;
    }
    recordEvent(log_event::RequestNotPlaced,
        {{"service", facts().route.service}, {"error", responseFor(answer.kind).name}, {"waiting", m_host.slots.waiting(facts().route.service)}});
    perform(m_machine.onNoSlot(answer.kind, systemNow()));
}

// Logs the placement with the values that the choice was based on: this daemon's open requests at the endpoint, the load that the
// endpoint last reported, its measured time to first token, and the age of the endpoint list.
void request_session::recordPlacement(const slot_answer &answer)
{
    const endpoint &target = *answer.target;
    const endpoint_load &load = *target.load;
    const time_point knownAt = m_host.endpointsKnownAt.load(std::memory_order_relaxed);
    const duration age = knownAt == time_point{} ? duration{} : std::max(bootTimeNow() - knownAt, duration{});
    m_host.counts.observe(latency::EndpointStateAge, facts().route.route, age);
    const time_point loadKnownAt = m_host.loadKnownAt.load(std::memory_order_relaxed);
    const duration loadAge = loadKnownAt == time_point{} ? duration{} : std::max(systemNow() - loadKnownAt, duration{});
    if (loadKnownAt != time_point{}) {
        m_host.counts.observe(latency::LoadAge, facts().route.route, loadAge);
    }
    recordEvent(log_event::RequestPlaced,
        {{"endpoint", target.id}, {"failure_domain", target.failureDomain}, {"version", target.version}, {"reason", toText(answer.reason)},
            {"open_here", load.inFlight.load()}, {"slots_here", load.slots.load()}, {"load_permille", load.reportedPermille.load()},
            {"first_token_us", load.firstTokenMicros.load()}, {"known_ms", inMilliseconds(age)}, {"predicted_ms", inMilliseconds(answer.predictedWait)},
            {"tokens_here", load.ownPromptTokens.load()}, {"tokens_elsewhere", load.remotePromptTokens.load()}, {"pace_percent", load.pacePercent.load()},
            {"load_known_ms", inMilliseconds(loadAge)}});
}

void request_session::perform(const copy_to_peer &)
{
    asio::co_spawn(m_thread.context, copyLoop(true), logged_end("copy of a request"));
}

asio::awaitable<void> request_session::copyLoop(bool first)
{
    const auto self = shared_from_this();
    m_copying = true;
    bool more = true;
    while (more) {
        const std::uint32_t upTo = m_tokens.size();
        m_showOnlyCopied = co_await m_host.copier->copy(self, m_copiedTokens, upTo);
        m_copiedTokens = upTo;
        if (first) {
            first = false;
            recordEvent(log_event::CopyMade, {{"held", m_showOnlyCopied}});
            perform(m_machine.onCopied(systemNow()));
        }
        notifyReaders();
        more = m_tokens.size() > m_copiedTokens && !m_handedOver;
    }
    m_copying = false;
}

asio::awaitable<bool> request_session::handOver()
{
    const auto self = shared_from_this();
    if (m_machine.isOver() || facts().kind != service_kind::Model || m_host.copier == nullptr) {
        co_return m_machine.isOver();
    }
    m_handedOver = true; // from now on callers see only tokens that the peer has
    m_showOnlyCopied = true;
    const std::uint32_t upTo = m_tokens.size();
    const bool accepted = co_await m_host.copier->handOver(self, m_copiedTokens, upTo);
    if (!accepted || m_machine.isOver()) {
        m_handedOver = false;
        m_showOnlyCopied = accepted && m_showOnlyCopied;
        notifyReaders();
        co_return m_machine.isOver();
    }
    m_copiedTokens = upTo;
    m_tokens.truncate(upTo); // drop the tokens that arrived while the peer was asked: the peer continues after the copied ones
    m_tokenCount = upTo;
    m_readUpTo = std::min(m_readUpTo, upTo);
    countHeld();
    recordEvent(log_event::HandedOver, {{"pieces", upTo}});
    perform(m_machine.onHandedOver(systemNow()));
    notifyReaders();
    co_return true;
}

void request_session::perform(const transfer_kv &action)
{
    asio::co_spawn(m_thread.context, runTransfer(action), logged_end("transfer of a stream"));
}

// Without room for it the stream is resumed by recomputation.
asio::awaitable<void> request_session::runTransfer(transfer_kv action)
{
    const auto self = shared_from_this();
    const std::size_t maxBytes = kvBytes(recomputeTokens()) + kvBytesSlack;
    byte_share room(m_host.transferBytes);
    bool arrived = false;
    if (room.tryGrowTo(maxBytes)) {
        arrived = co_await transferKv(action, maxBytes);
    }
    recordEvent(log_event::KvMoved, {{"endpoint", action.target->id}, {"arrived", arrived}});
    perform(m_machine.onTransferred(arrived, systemNow()));
}

asio::awaitable<bool> request_session::transferKv(transfer_kv action, std::size_t maxBytes)
{
    try {
        http_call exportCall = kvExportRequest(facts().id, action.fromAttempt);
        http_response exported = co_await m_thread.client.call(action.source->listenAddress, std::move(exportCall), action.deadline, maxBytes);
        if (exported.status != 200) {
            co_return false;
        }
        http_call importCall = kvImportRequest(facts().id, std::move(exported.body));
        const http_response imported = co_await m_thread.client.call(action.target->listenAddress, std::move(importCall), action.deadline, maxShortAnswerBytes);
        co_return imported.status == 200;
    } catch (const http_failure &) {
        co_return false;
    }
}

void request_session::perform(const send_attempt &action)
{
    const auto open = std::make_shared<open_attempt>(action.target, m_host.answerBytes());
    open->predictedWait = m_predictedWait;
    m_openAttempts[action.attempt] = open;
    m_host.counts.countAttempt();
    m_attempts = action.attempt;
    if (action.attempt > 1) {
        m_host.counts.countRetry();
        recordEvent(log_event::AttemptSent,
            {{"attempt", action.attempt}, {"endpoint", action.target->id}, {"from", action.resumeFrom},
                {"deadline_left_ms", inMilliseconds(facts().deadline - systemNow())}});
    }
    asio::co_spawn(m_thread.context, runAttempt(open, action), logged_end("attempt"));
}

void request_session::perform(const cancel_attempt &action)
{
    const auto found = m_openAttempts.find(action.attempt);
    if (found == m_openAttempts.end()) {
        return;
    }
    found->second->cancelled = true;
    if (found->second->stream != nullptr) {
        found->second->stream->cancel();
    } else if (found->second->handle->cancel) {
        found->second->handle->cancel(); // the answer's head has not arrived yet
    }
    m_openAttempts.erase(found);
}

void request_session::perform(const report_overdue &action)
{
    recordEvent(log_event::AttemptOverdue, {{"endpoint", action.target->id}});
    if (m_host.onOutcome) {
        m_host.onOutcome(outcomeOf(*action.target, attempt_result::Overdue, {}));
    }
}

attempt_outcome request_session::outcomeOf(const endpoint &target, attempt_result result, duration firstToken) const
{
    const contract &promised = m_machine.facts().route;
    return {target.id, promised.service, target.version, promised.route, result, firstToken};
}

// Reports the time to first token at once, so that a version's latency is known seconds before a long answer is complete.
void request_session::reportFirstToken(const open_attempt &open, std::uint32_t number)
{
    const bool isServerError = m_status >= 500;
    if (open.predictedWait > duration{} && !isServerError) {
        m_host.counts.observe(latency::WaitPredictionError, facts().route.route, std::chrono::abs(m_machine.firstTokenLatency(number) - open.predictedWait));
    }
    if (m_host.onOutcome && !isServerError) {
        attempt_outcome outcome = outcomeOf(*open.target, attempt_result::FirstTokenReceived, m_machine.firstTokenLatency(number));
        outcome.load = m_host.loadControl.isOn() ? m_statedLoad : std::nullopt; // at once; without load control it counts at the end of the answer
        outcome.promptTokens = facts().promptTokens;
        outcome.prefixTokens = facts().prefixTokens;
        outcome.tokensAhead = open.tokensAhead;
        m_host.onOutcome(outcome);
    }
}

// Tells what the prompt did to the endpoint. A failure that leaves the endpoint alive says nothing.
void request_session::reportPrompt(const endpoint &target, bool answered)
{
    if (m_host.onPromptOutcome && !facts().promptParts.empty()) {
        m_host.onPromptOutcome({facts().promptParts, target.key, answered});
    }
}

// At the end of an answer: longer ones were reported at their piece number answeredAfterPieces.
void request_session::reportShortAnswer(const endpoint &target)
{
    if (m_status == 200 && !m_tokens.empty() && m_tokens.size() < answeredAfterPieces) {
        reportPrompt(target, true);
    }
}

void request_session::perform(const release_slot &action)
{
    action.target->load->release();
    if (action.result != attempt_result::Unused && m_host.onOutcome) {
        const bool isServerError = action.result == attempt_result::Completed && m_status >= 500;
        const attempt_result result = isServerError ? attempt_result::Failed : action.result;
        const bool relayed = m_host.dialect->relaysAnswers;
        attempt_outcome outcome = outcomeOf(*action.target, result, action.firstTokenLatency);
        outcome.firstTokenReported = action.firstTokenLatency > duration{};
        outcome.load = relayed ? m_statedLoad : std::nullopt;
        m_host.onOutcome(outcome);
    }
    m_host.serveWaiting(m_machine.facts().route.service, m_thread.random);
}

// ---- End of the request ----------------------------------------------------------------------------------------------------------------

void request_session::perform(const finish_request &action)
{
    m_host.counts.countAnswer();
    m_host.counts.countOutcome(facts().route.route, "answered");
    m_host.counts.observe(latency::Total, facts().route.route, systemNow() - facts().arrival);
    const time_point now = systemNow();
    recordEvent(log_event::RequestAnswered,
        {{"status", m_status}, {"pieces", action.tokens}, {"attempts", m_attempts},
            {"first_ms", m_firstPieceAt == time_point{} ? -1 : inMilliseconds(m_firstPieceAt - facts().arrival)},
            {"total_ms", inMilliseconds(now - facts().arrival)}});
    close();
}

void request_session::perform(const fail_request &action)
{
    m_failed = true;
    m_failure = action.kind;
    m_host.counts.countFailure(action.kind);
    m_host.counts.countOutcome(facts().route.route, responseFor(action.kind).name);
    recordEvent(log_event::RequestFailed,
        {{"error", responseFor(action.kind).name}, {"ran", toText(responseFor(action.kind).ran)}, {"pieces", m_tokens.size()}, {"attempts", m_attempts},
            {"total_ms", inMilliseconds(systemNow() - facts().arrival)}});
    close();
}

void request_session::close()
{
    m_closed = true;
    m_host.counts.countRecomputedTokens(m_machine.recomputedTokens());
    if (m_ticket != 0) {
        m_host.slots.withdraw(m_machine.facts().route.service, m_ticket);
        m_host.removeWaiter(m_ticket);
        m_ticket = 0;
    }
    if (m_claimWon) {
        asio::co_spawn(m_thread.context, settleClaim(), logged_end("settling of a claim"));
    }
    if (m_showOnlyCopied && !m_handedOver && m_host.copier != nullptr) {
        m_copiedTokens = m_tokens.size(); // the answer is complete, so the copy is no longer needed and all tokens may be read
        m_host.copier->drop(facts().id);
    }
    m_timer.cancel();
    m_backpressureSignal.cancel();
    notifyReaders();
    if (m_host.keepsAnswers) {
        m_host.retire(shared_from_this(), m_tokens.heldBytes() + m_payload.prompt.size() + m_payload.body.size());
        countHeld();
    } else {
        m_host.retire(shared_from_this(), 0);
    }
}

void request_session::postQuarantined()
{
    asio::post(m_thread.context, [self = shared_from_this()] { self->perform(self->m_machine.onQuarantined(systemNow())); });
}

void request_session::postStopping(const stop_bounds &bounds)
{
    asio::post(m_thread.context, [self = shared_from_this(), bounds] { self->perform(self->m_machine.onStopping(bounds, systemNow())); });
}

void request_session::postReclaimNotice(const std::string &endpointId, time_point leaveBy, move_method method)
{
    asio::post(m_thread.context, [self = shared_from_this(), endpointId, leaveBy, method] {
        if (!self->m_machine.isOver()) {
            self->recordEvent(log_event::RequestMoves, {{"endpoint", endpointId}, {"pieces", self->m_tokens.size()}});
            self->m_host.counts.countMovedStream();
            self->perform(self->m_machine.onReclaimNotice(endpointId, leaveBy, method, systemNow()));
        }
    });
}

std::uint32_t request_session::recomputeTokens() const
{
    return static_cast<std::uint32_t>(m_payload.prompt.size() / bytesPerPromptToken) + m_tokenCount;
}

void request_session::recordEvent(log_event event, log_fields fields)
{
    if (m_host.keepsAnswers && m_history.size() < maxHistoryBytes) {
        m_history += logText(event, fields) + "\n"; // read through explain(); without keepsAnswers nothing can ask for it, and only the log has the event
    }
    logRequestEvent(event, facts().id, fields);
}

} // namespace chicoryrouter
