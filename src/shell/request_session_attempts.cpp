// request_session: attempts, from the first byte sent to an endpoint to the end of its answer.
#include "chicoryrouter/units.h"
#include "chicoryrouter/wait_estimate.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/request_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxSkippedBytes = 64 * 1024;               // limit for an answer that is read only to keep its connection open
constexpr duration maxSkipTime = std::chrono::milliseconds(100); // the same; the next attempt waits for it
constexpr std::uint32_t maxForeignAnswers = 3;                   // answers to earlier calls that are skipped on one connection

} // namespace

void request_session::recordSending(const std::shared_ptr<open_attempt> &open, std::uint32_t number)
{
    if (open->cancelled) {
        throw http_failure(false, error_kind::EndpointRefused, "the attempt was cancelled before the request was sent");
    }
    endpoint_load &load = *open->target->load;
    open->awaitingFirstPiece = std::make_unique<scoped_count<std::uint32_t>>(load.awaitingAnswer);
    open->tokensAhead = expectedTokensAhead(load);
    open->unreadPrompt = std::make_unique<scoped_count<std::uint32_t>>(load.ownPromptTokens, m_tokensToRead != 0 ? m_tokensToRead : facts().promptTokens);
    m_machine.onSent(number, systemNow());
}

// Runs one attempt from its first byte to its end and reports the outcome to the request_machine.
asio::awaitable<void> request_session::runAttempt(std::shared_ptr<open_attempt> open, send_attempt action)
{
    const auto self = shared_from_this();
    const std::uint32_t number = action.attempt;
    std::optional<attempt_fault> fault;
    try {
        if (facts().kind == service_kind::Model) {
            fault = co_await runModel(open, action);
        } else {
            fault = co_await runPlain(open, action);
        }
    } catch (const http_failure &failure) {
        fault = attempt_fault{failure.requestMayHaveBeenSent() ? attempt_progress::MayHaveRun : attempt_progress::NotSent, failure.kind(), failure.what()};
    } catch (const error &invalid) {
        fault = attempt_fault{attempt_progress::MayHaveRun, invalid.kind(), invalid.detail()};
    } catch (const std::exception &unexpected) { // lost with this coroutine otherwise, and the request would wait for its deadline
        logEvent(log_event::LoopFault, {{"loop", "attempt"}, {"why", unexpected.what()}});
        fault = attempt_fault{attempt_progress::NotSent, error_kind::EndpointFailed}; // the request_machine knows whether a byte may have been sent
    }
    if (fault) {
        attemptFailed(open, number, *fault);
    }
}

// Connects, sends the request, and reads the answer's head.
asio::awaitable<void> request_session::openStream(std::shared_ptr<open_attempt> open, std::uint32_t number, http_call call, bool newConnection)
{
    auto onSending = [this, open, number] {
        recordSending(open, number);
    };
    std::unique_ptr<http_stream> stream
        = co_await m_thread.client.open(open->target->listenAddress, std::move(call), facts().deadline, newConnection, onSending, open->handle);
    open->stream = std::move(stream);
}

engine_call request_session::callFor(const send_attempt &action) const
{
    engine_call call;
    call.requestId = facts().id;
    call.attempt = action.attempt;
    call.rank = facts().route.rank;
    if (m_host.loadControl.isOn()) {
        const duration waited = facts().route.deadline - (facts().deadline - systemNow()); // also at an earlier call of the same caller
        call.order = endpointOrder(facts().route.rank, facts().promptTokens, waited, facts().route.firstTokenTarget);
    }
    call.resumeFrom = action.resumeFrom;
    call.withTransferredKv = action.withTransferredKv;
    call.firstEventIndex = m_firstPieceNumber;
    call.deadline = facts().deadline;
    call.account = facts().account;
    return call;
}

// Checks the answer's head. Returns a fault if the answer can't be used, with how far the attempt got.
asio::awaitable<std::optional<request_session::attempt_fault>> request_session::readHead(std::shared_ptr<open_attempt> open)
{
    answer_metadata answer = m_host.dialect->readAnswer(open->stream->status, open->stream->headers, facts().id);
    for (std::uint32_t skipped = 0; answer.belongsToOtherRequest && skipped < maxForeignAnswers; ++skipped) {
        co_await open->stream->skipResponse();
        answer = m_host.dialect->readAnswer(open->stream->status, open->stream->headers, facts().id);
    }
    m_statedLoad = answer.load;
    if (answer.load && answer.load->pacePercent > 0 && !answer.belongsToOtherRequest) {
        m_host.loadControl.onStatedPace();
        open->target->load->pacePercent = answer.load->pacePercent;
        open->target->load->paceHeardAt = systemNow();
    }
    if (!answer.namesRequest) {
        open->stream->closeAfterResponse();
    }
    if (answer.saysLeaving) {
        reportLeaving(open->target);
    }
    if (answer.asksRest > duration{}) {
        noteRest(*open->target, systemNow() + answer.asksRest);
    }
    if (answer.belongsToOtherRequest) {
        co_return attempt_fault{attempt_progress::MayHaveRun, error_kind::EndpointGarbage};
    }
    if (answer.provesNotRun) {
        co_await skipBody(open);
        co_return attempt_fault{attempt_progress::ProvedNotRun, error_kind::EndpointRefused};
    }
    const bool relayedAsItIs = m_host.dialect->relaysAnswers && !facts().route.repeatable;
    if (open->stream->status >= 500 && !relayedAsItIs && m_machine.mayRetry()) {
        co_await skipBody(open);
        co_return attempt_fault{attempt_progress::MayHaveRun, error_kind::EndpointFailed};
    }
    co_return std::nullopt;
}

// From here on no request thread chooses the endpoint; the control strand then takes it out of the routing table.
void request_session::reportLeaving(const endpoint_ptr &target)
{
    const bool known = target->load->leaving.exchange(true);
    if (!known && m_host.onLeavingAnswer) {
        m_host.onLeavingAnswer(target);
    }
}

// From here on no request thread of this daemon chooses the endpoint until then. Other daemons go by their own answers.
void request_session::noteRest(const endpoint &target, time_point until)
{
    target.load->rest(until);
    m_host.counts.countRest();
    logEvent(log_event::EndpointRests, {{"endpoint", target.id}, {"until", formatTimestampMs(until)}});
}

// Reads an unusable answer to its end, so that its connection can be reused. A failure here does not change the attempt's outcome.
asio::awaitable<void> request_session::skipBody(std::shared_ptr<open_attempt> open)
{
    std::array<char, 4096> scratch{};
    std::size_t total = 0;
    open->stream->setDeadline(std::min(facts().deadline, systemNow() + maxSkipTime));
    try {
        while (const std::size_t byteCount = co_await open->stream->readSome(scratch.data(), scratch.size())) {
            total += byteCount;
            if (total > maxSkippedBytes) {
                open->stream->cancel();
                co_return;
            }
        }
    } catch (const http_failure &) {
        co_return; // the connection is closed; the attempt's outcome is already decided
    }
}

void request_session::recordAnswerHead(const std::shared_ptr<open_attempt> &open)
{
    const http_stream &answer = *open->stream;
    if (m_headRecorded && !m_tokens.empty()) {
        return; // a resumed answer continues under its first endpoint's head; without pieces the caller has seen none of that answer
    }
    m_headRecorded = true;
    m_status = answer.status;
    m_contentType = std::string(findHeader(answer.headers, "Content-Type"));
    if (m_host.dialect->relaysAnswers) {
        m_answerHeaders = answer.headers;
    }
}

asio::awaitable<std::optional<request_session::attempt_fault>> request_session::runModel(std::shared_ptr<open_attempt> open, send_attempt action)
{
    const std::uint32_t number = action.attempt;
    const std::string resumeText = m_host.dialect->relaysAnswers ? std::string() : text(action.resumeFrom);
    engine_call call = callFor(action);
    call.resumeText = resumeText;
    co_await openStream(open, number, m_host.dialect->modelCall(m_payload, call, *open->target), action.onNewConnection);
    std::optional<attempt_fault> fault = co_await readHead(open);
    if (fault) {
        co_return fault;
    }
    const bool isStream = open->stream->status == 200;
    const bool resumesAnswer = !m_tokens.empty(); // any other answer is none to the caller's request: it is not passed on behind these pieces
    if (!isStream && (resumesAnswer || !m_host.dialect->relaysAnswers)) {
        co_return attempt_fault{attempt_progress::MayHaveRun, error_kind::EndpointFailed};
    }
    if (!isStream) {
        fault = co_await readWholeAnswer(open, number);
        co_return fault;
    }
    recordAnswerHead(open);
    const bool ended = co_await readEvents(open, number, call);
    if (ended || open->cancelled) {
        co_return std::nullopt;
    }
    co_return attempt_fault{attempt_progress::MayHaveRun, error_kind::EndpointLost};
}

// Returns true when the answer is complete or the attempt was cancelled between pieces, false when the stream closed before that.
asio::awaitable<bool> request_session::readEvents(std::shared_ptr<open_attempt> open, std::uint32_t number, engine_call call)
{
    const std::shared_ptr<http_stream> stream = open->stream;
    const std::unique_ptr<stream_event_reader> reader = m_host.dialect->newReader(call);
    std::array<char, 16384> buffer{};
    answer_meter meter(m_answerLimits);
    bool hasEvents = false;
    while (true) {
        const std::size_t byteCount = co_await stream->readSome(buffer.data(), buffer.size());
        if (byteCount == 0) {
            const bool nothingWritten = stream->endsWithConnection && !hasEvents; // the endpoint closed it before it began to write, as in a crash
            if (nothingWritten || !reader->isCompleteAtEnd() || open->cancelled) {
                co_return false;
            }
            m_openAttempts.erase(number);
            reportShortAnswer(*open->target);
            perform(m_machine.onEnd(number, facts().id, m_machine.delivered(), systemNow()));
            co_return true;
        }
        reader->feed({buffer.data(), byteCount});
        while (std::optional<engine_event> event = reader->next()) {
            hasEvents = true;
            if (open->cancelled) {
                co_return true;
            }
            if (!reader->carriesRequestId()) {
                renumberPiece(*event, number);
            }
            meter.countPiece(event->done ? 0 : event->index);
            if (event->done) {
                if (event->requestId != facts().id || event->attempt != number) {
                    continue;
                }
                m_openAttempts.erase(number);
                // Read to the end, so that the connection can be reused.
                co_await stream->readSome(buffer.data(), buffer.size());
                perform(m_machine.onEnd(number, event->requestId, event->index, systemNow()));
                co_return true;
            }
            if (!acceptToken(number, std::move(*event))) {
                throw error(error_kind::EndpointGarbage, "an endpoint's stream skipped a token index");
            }
        }
        meter.checkUnfinished(reader->unfinishedBytes());
        if (reader->unfinishedBytes() > open->arriving.bytes()) {
            co_await waitForRoom(open, reader->unfinishedBytes());
        } else {
            open->arriving.set(reader->unfinishedBytes());
        }
        if (m_host.keepsAnswers) {
            meter.checkHeld(m_tokens.heldBytes());
        }
        notifyReaders();
        if (m_showOnlyCopied && !m_copying && !m_handedOver && m_tokens.size() > m_copiedTokens) {
            asio::co_spawn(m_thread.context, copyLoop(false), logged_end("copy of a request"));
        }
        co_await waitForReaders();
    }
}

// Relayed pieces carry only an index, and each endpoint may start from any number: makes the index relative to the stream's first
// piece, and fills in the request and the attempt.
void request_session::renumberPiece(engine_event &piece, std::uint32_t attempt)
{
    if (!m_firstPieceKnown) {
        m_firstPieceKnown = true;
        m_firstPieceNumber = piece.index;
    }
    if (piece.index < m_firstPieceNumber) {
        throw error(error_kind::EndpointGarbage, "an endpoint's stream has a piece with an index below its first piece's");
    }
    piece.index -= m_firstPieceNumber;
    piece.requestId = facts().id;
    piece.attempt = attempt;
}

bool request_session::acceptToken(std::uint32_t number, engine_event event)
{
    if (event.attempt != number) {
        return true; // the token belongs to another attempt; ignore it
    }
    const time_point now = systemNow();
    const token_result result = m_machine.onToken(number, event.requestId, event.index, now);
    if (result == token_result::Deliver) {
        if (const auto open = m_openAttempts.find(number); open != m_openAttempts.end() && open->second->awaitingFirstPiece != nullptr) {
            open->second->awaitingFirstPiece = nullptr;
            open->second->unreadPrompt = nullptr;
            reportFirstToken(*open->second, number);
        }
        if (m_tokens.empty() && m_host.onFirstToken) {
            m_host.onFirstToken(facts().account);
        }
        if (m_tokens.empty()) {
            m_firstPieceAt = now;
            m_host.counts.observe(latency::FirstToken, facts().route.route, now - facts().arrival);
        }
        if (!m_tokens.empty()) {
            m_host.counts.observe(latency::BetweenPieces, facts().route.route, now - m_newestPieceAt);
        }
        m_newestPieceAt = now;
        addToken(std::move(event.token));
        if (m_tokens.size() == answeredAfterPieces && m_status == 200) {
            if (const auto open = m_openAttempts.find(number); open != m_openAttempts.end()) {
                reportPrompt(*open->second->target, true);
            }
        }
        m_host.counts.countToken();
    }
    return result != token_result::Gap;
}

asio::awaitable<std::optional<request_session::attempt_fault>> request_session::runPlain(std::shared_ptr<open_attempt> open, send_attempt action)
{
    const std::uint32_t number = action.attempt;
    // A request that must not be repeated gets a new connection: if a reused one closes without an answer, the request may have been lost
    // or may have run, and nothing tells which. Relaying dialects still reuse connections, because theirs were used a moment ago.
    const bool newConnection = action.onNewConnection || (!facts().route.repeatable && !m_host.dialect->relaysAnswers);
    co_await openStream(open, number, m_host.dialect->plainCall(m_payload, callFor(action), *open->target), newConnection);
    std::optional<attempt_fault> fault = co_await readHead(open);
    if (!fault) {
        fault = co_await readWholeAnswer(open, number);
    }
    co_return fault;
}

// Reads a complete answer and delivers it as one token.
asio::awaitable<std::optional<request_session::attempt_fault>> request_session::readWholeAnswer(std::shared_ptr<open_attempt> open, std::uint32_t number)
{
    const answer_meter meter(m_answerLimits);
    std::string body;
    std::array<char, 16384> buffer{};
    while (const std::size_t byteCount = co_await open->stream->readSome(buffer.data(), buffer.size())) {
        body.append(buffer.data(), byteCount);
        meter.checkHeld(body.size());
        co_await waitForRoom(open, body.size());
    }
    if (open->cancelled) {
        co_return std::nullopt;
    }
    m_openAttempts.erase(number);
    recordAnswerHead(open);
    acceptToken(number, {facts().id, number, 0, std::move(body), false});
    open->arriving.set(0); // it has become a piece
    reportShortAnswer(*open->target);
    perform(m_machine.onEnd(number, facts().id, 1, systemNow()));
    co_return std::nullopt;
}

void request_session::attemptFailed(const std::shared_ptr<open_attempt> &open, std::uint32_t number, const attempt_fault &fault)
{
    if (open->cancelled || m_machine.isOver()) {
        return;
    }
    m_openAttempts.erase(number);
    if (fault.kind == error_kind::EndpointLost && fault.progress == attempt_progress::MayHaveRun && m_tokens.size() < answeredAfterPieces) {
        reportPrompt(*open->target, false);
    }
    recordEvent(log_event::AttemptFailed,
        {{"attempt", number}, {"endpoint", open->target->id}, {"error", responseFor(fault.kind).name}, {"reach", toText(fault.progress)},
            {"pieces", m_tokens.size()}, {"after_ms", inMilliseconds(systemNow() - facts().arrival)},
            {"parts", m_tokens.empty() ? partNames(facts().promptParts) : std::string()}, {"why", fault.why}});
    perform(m_machine.onAttemptFailed(number, fault.progress, fault.kind, systemNow()));
}

} // namespace chicoryrouter
