// Turns callers' HTTP requests into request sessions, and the sessions' results into HTTP responses.
#include "shell/gateway.h"

#include "chicoryrouter/bounded_counter.h"
#include "chicoryrouter/hash.h"
#include "shell/clock.h"
#include "shell/completions_dialect.h"
#include "shell/request_session.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cassert>
#include <cstdio>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t maxIdempotencyKeyBytes = 200;
constexpr duration peerFetchTimeout = std::chrono::seconds(5);
constexpr duration handoverTimeout = std::chrono::seconds(15); // if no peer holds the request for this long, it is treated as lost
constexpr duration peerPollInterval = std::chrono::milliseconds(50);
constexpr std::string_view attachPath = "/v1/requests/";

thread_local request_thread *boundThread = nullptr;

// Counts an open request against the account's limit and releases it on destruction. Throws error(AccountOverLimit) at the limit.
class open_request_guard
{
public:
    explicit open_request_guard(std::shared_ptr<account_load> load)
        : m_load(std::move(load))
    {
        if (!m_load->tryAcquire()) {
            m_load = nullptr;
            throw error(error_kind::AccountOverLimit);
        }
    }

    open_request_guard(const open_request_guard &) = delete;
    open_request_guard &operator=(const open_request_guard &) = delete;

    ~open_request_guard()
    {
        if (m_load != nullptr) {
            m_load->release();
        }
    }

private:
    std::shared_ptr<account_load> m_load;
};

http_headers idHeader(const std::string &id)
{
    return {{"X-Request-Id", id}};
}

} // namespace

gateway::gateway(request_host &host, std::string instanceName)
    : m_host(host)
    , m_instanceName(std::move(instanceName))
    , m_startTime(static_cast<std::uint64_t>(systemNow().time_since_epoch().count()))
{
}

void gateway::bindThread(request_thread *thread)
{
    boundThread = thread;
}

request_thread &gateway::currentThread()
{
    assert(boundThread != nullptr && "bindThread() was not called on this thread");
    return *boundThread;
}

bool gateway::isReady() const
{
    return !stopping && peersKnown && config.read().document->revision > 0;
}

std::string gateway::newRequestId()
{
    const std::uint64_t number = m_requestCount.fetch_add(1) + 1;
    std::array<char, 17> suffix{};
    std::snprintf(suffix.data(), suffix.size(), "%08x", static_cast<unsigned>(mixBits(m_startTime ^ (number << 1U))));
    return m_instanceName + "." + std::to_string(number) + "." + suffix.data();
}

gateway::caller gateway::authenticate(const http_request &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.header("Authorization");
    if (header.substr(0, scheme.size()) != scheme) {
        throw error(error_kind::UnknownAccount, "the Authorization header has no bearer token");
    }
    const auto &accounts = config.read().accounts;
    const auto found = accounts.find(hashToken(header.substr(scheme.size())));
    if (found == accounts.end()) {
        throw error(error_kind::UnknownAccount);
    }
    return {found->second.account, found->second.load};
}

request_facts gateway::makeRequestFacts(const caller &client, const contract &route, service_kind kind)
{
    request_facts result = makeFacts(newRequestId(), client.account.name, route, kind, systemNow());
    result.weight = client.account.weight;
    result.needsCopy = route.mustFinish && m_host.copier != nullptr && m_host.copier->available();
    return result;
}

asio::awaitable<void> gateway::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request;
    const scoped_count activeCount(activeCallers);
    if (request.path == "/healthz") {
        co_await exchange.respond(200, "text/plain", "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready = isReady();
        co_await exchange.respond(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        if (updateGauges) {
            updateGauges(m_host.counts);
        }
        co_await exchange.respond(200, "text/plain; version=0.0.4", m_host.counts.text());
    } else if (request.path.rfind("/operator/", 0) == 0 && operatorHandler) {
        co_await operatorHandler(exchange);
    } else if (request.path.rfind(attachPath, 0) == 0) {
        co_await handleAttach(exchange);
    } else if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") {
        co_await handleModel(exchange, request.path == "/v1/chat/completions");
    } else {
        co_await handlePlain(exchange);
    }
}

asio::awaitable<void> gateway::handleModel(http_exchange &exchange, bool chat)
{
    const caller client = authenticate(exchange.request);
    if (exchange.request.method != "POST") {
        throw error(error_kind::BadRequest, "this path accepts only the method POST");
    }
    const json body = parseBody(exchange.request.body);
    const contract *route = config.read().document->content.findModelRoute(field<std::string>(body, "model", ""));
    if (route == nullptr) {
        throw error(error_kind::UnknownRoute, "the field 'model' names no configured model");
    }
    if (stopping) {
        throw error(error_kind::ShuttingDown);
    }
    const open_request_guard guard(client.load);
    request_payload payload = modelPayload(body, chat);
    request_facts facts = makeRequestFacts(client, *route, service_kind::Model);
    facts.prefix = prefixKey(payload.prompt);
    facts.outputTokens = payload.maxTokens;
    const auto session = std::make_shared<request_session>(m_host, currentThread(), std::move(facts), std::move(payload));
    co_await beginAndAnswer(exchange, session);
}

asio::awaitable<void> gateway::handlePlain(http_exchange &exchange)
{
    const http_request &request = exchange.request;
    const caller client = authenticate(request);
    const contract *route = config.read().document->content.findPlainRoute(request.path);
    if (route == nullptr) {
        throw error(error_kind::UnknownRoute);
    }
    if (stopping) {
        throw error(error_kind::ShuttingDown);
    }
    request_payload payload;
    payload.method = request.method;
    payload.target = request.path + (request.query.empty() ? "" : "?" + request.query);
    payload.contentType = std::string(request.header("Content-Type"));
    payload.idempotencyKey = std::string(request.header("Idempotency-Key"));
    payload.body = request.body;
    payload.bodyHash = hashBytes(payload.method + "\n" + payload.target + "\n" + payload.body);
    if (payload.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        throw error(error_kind::BadRequest, "the Idempotency-Key header is too long");
    }
    if (route->keyRequired && payload.idempotencyKey.empty()) {
        throw error(error_kind::KeyRequired);
    }
    const open_request_guard guard(client.load);
    request_facts facts = makeRequestFacts(client, *route, service_kind::Plain);
    facts.needsClaim = !route->repeatable && !payload.idempotencyKey.empty();
    const auto session = std::make_shared<request_session>(m_host, currentThread(), std::move(facts), std::move(payload));
    co_await beginAndAnswer(exchange, session);
}

asio::awaitable<void> gateway::beginAndAnswer(http_exchange &exchange, const std::shared_ptr<request_session> &session)
{
    exchange.watchCaller([session] { session->onCallerGone(); });
    session->begin();
    if (session->payload().stream) {
        co_await answerStream(exchange, session);
    } else {
        co_await answerBuffered(exchange, session);
    }
    session->onReaderLeft();
}

asio::awaitable<void> gateway::answerStream(http_exchange &exchange, const std::shared_ptr<request_session> &session)
{
    const std::string id = session->facts().id;
    // Send the status only with the first token, so that a request that fails earlier gets an ordinary HTTP error.
    while (session->readable() == 0 && !session->isOver()) {
        co_await session->waitForChange();
    }
    if (session->failed() && session->readable() == 0) {
        co_await exchange.respond(responseFor(session->failure()).httpStatus, "application/json", errorBody(session->failure(), id, ""), idHeader(id));
        co_return;
    }
    bool open = co_await exchange.startStream(200, "text/event-stream", idHeader(id));
    const std::string prefix = eventPrefix(*session);
    std::uint32_t next = 0;
    std::string batch;
    while (open) {
        batch = formatEvents(*session, next, prefix);
        const bool last = session->isOver() && next >= session->readable();
        open = co_await exchange.writeChunk(batch);
        session->onReaderProgress(next);
        if (last && session->isHandedOver()) {
            co_await streamFromPeer(exchange, id, session->facts().account, next);
            co_return;
        }
        if (last) {
            break;
        }
        if (next >= session->readable() && !session->isOver()) {
            co_await session->waitForChange();
        }
    }
    if (open) {
        co_await exchange.endStream();
    } else if (!session->isOver()) {
        session->onCallerGone();
    }
}

asio::awaitable<void> gateway::answerBuffered(http_exchange &exchange, const std::shared_ptr<request_session> &session)
{
    while (!session->isOver()) {
        session->onReaderProgress(session->readable());
        co_await session->waitForChange();
    }
    if (session->isHandedOver()) {
        co_await answerBufferedFromPeer(exchange, session);
        co_return;
    }
    const std::string id = session->facts().id;
    if (session->failed()) {
        co_await exchange.respond(responseFor(session->failure()).httpStatus, "application/json", errorBody(session->failure(), id, ""), idHeader(id));
    } else if (session->facts().kind == service_kind::Model) {
        co_await exchange.respond(200, "application/json", completionBody(*session, session->text(), session->readable()), idHeader(id));
    } else {
        http_headers extra = idHeader(id);
        extra.push_back({"Cache-Control", "no-store"});
        if (session->replayed()) {
            extra.push_back({"X-Replayed", "1"});
        }
        co_await exchange.respond(session->status(), session->contentType(), session->text(), extra);
    }
}

asio::awaitable<void> gateway::handleAttach(http_exchange &exchange)
{
    const caller client = authenticate(exchange.request);
    const std::string id = exchange.request.path.substr(attachPath.size());
    const std::uint32_t from = resumeIndex(exchange.request);
    const auto session = m_host.find(id);
    if (session == nullptr && peers != nullptr) {
        co_await attachToPeer(exchange, id, client.account.name, from);
        co_return;
    }
    if (session == nullptr || session->facts().account != client.account.name || session->facts().kind != service_kind::Model) {
        throw error(error_kind::UnknownRequest);
    }
    // The session may run on another thread: read it on that thread, and write the response on this one.
    const auto callerExecutor = exchange.executor();
    co_await asio::dispatch(session->context().get_executor(), asio::use_awaitable);
    session->onCallerReturned();
    std::uint32_t next = from;
    bool open = true;
    bool started = false;
    while (open) {
        while (session->readable() <= next && !session->isOver()) {
            co_await session->waitForChange();
        }
        const std::string batch = formatEvents(*session, next, eventPrefix(*session));
        const bool last = session->isOver() && next >= session->readable();
        const bool handedOver = session->isHandedOver();
        session->onReaderProgress(next);
        co_await asio::dispatch(callerExecutor, asio::use_awaitable);
        if (!started) {
            started = true;
            open = co_await exchange.startStream(200, "text/event-stream", idHeader(id));
        }
        if (open) {
            open = co_await exchange.writeChunk(batch);
        }
        if (last && handedOver) {
            co_await streamFromPeer(exchange, id, client.account.name, next);
            co_return;
        }
        if (last) {
            break;
        }
        co_await asio::dispatch(session->context().get_executor(), asio::use_awaitable);
    }
    co_await asio::dispatch(callerExecutor, asio::use_awaitable);
    if (open) {
        co_await exchange.endStream();
    }
}

asio::awaitable<void> gateway::attachToPeer(http_exchange &exchange, std::string id, std::string account, std::uint32_t from)
{
    const remote_request_source::fetch_result probe = co_await peers->fetch(id, account, from, systemNow() + peerFetchTimeout);
    if (!probe.found) {
        throw error(error_kind::UnknownRequest);
    }
    co_await exchange.startStream(200, "text/event-stream", idHeader(id));
    co_await streamFromPeer(exchange, id, account, from);
}

// Continues an event stream whose request now runs on a peer. While no peer reports the request, its handover may still be in progress, so keep
// asking until handoverTimeout.
asio::awaitable<void> gateway::streamFromPeer(http_exchange &exchange, std::string id, std::string account, std::uint32_t next)
{
    time_point giveUpAt = systemNow() + handoverTimeout;
    while (systemNow() < giveUpAt) {
        const remote_request_source::fetch_result fetched = co_await peers->fetch(id, account, next, systemNow() + peerFetchTimeout);
        giveUpAt = fetched.found ? systemNow() + handoverTimeout : giveUpAt;
        std::string batch;
        for (const std::string &token : fetched.tokens) {
            const std::string text = dumpJson(token);
            batch += "id: " + std::to_string(next++) + "\ndata: " + R"({"id":")" + id + R"(","choices":[{"index":0,"text":)" + text + R"(,"delta":{"content":)"
                + text + "}}]}\n\n";
        }
        if (fetched.ended) {
            batch += fetched.failed ? errorEvent(id, fetched.failure) : "data: [DONE]\n\n";
        }
        const bool open = co_await exchange.writeChunk(batch);
        if (!open) {
            co_return;
        }
        if (fetched.ended) {
            co_await exchange.endStream();
            co_return;
        }
        if (fetched.tokens.empty()) {
            asio::steady_timer pause(exchange.executor(), peerPollInterval);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
    exchange.abandon(); // the caller sees a truncated stream and can reconnect
}

// Sends the buffered answer of a request that was handed over: the tokens received here, followed by those that the peer returns.
asio::awaitable<void> gateway::answerBufferedFromPeer(http_exchange &exchange, const std::shared_ptr<request_session> &session)
{
    const std::string id = session->facts().id;
    std::uint32_t next = session->readable();
    std::string text = session->text(next);
    time_point giveUpAt = systemNow() + handoverTimeout;
    while (systemNow() < giveUpAt) {
        const remote_request_source::fetch_result fetched = co_await peers->fetch(id, session->facts().account, next, systemNow() + peerFetchTimeout);
        giveUpAt = fetched.found ? systemNow() + handoverTimeout : giveUpAt;
        for (const std::string &token : fetched.tokens) {
            text += token;
            ++next;
        }
        if (fetched.ended && fetched.failed) {
            co_await exchange.respond(responseFor(fetched.failure).httpStatus, "application/json", errorBody(fetched.failure, id, ""), idHeader(id));
            co_return;
        }
        if (fetched.ended) {
            co_await exchange.respond(200, "application/json", completionBody(*session, text, next), idHeader(id));
            co_return;
        }
        if (fetched.tokens.empty()) {
            asio::steady_timer pause(exchange.executor(), peerPollInterval);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
    throw error(error_kind::Internal, "the request was handed over to a peer, but no peer returned its answer in time");
}

} // namespace chicoryrouter
