// The gateway for relayed HTTP: requests are forwarded unchanged. Host and path select the route, a key in a header selects the client
// account, and the endpoint's answer is returned byte for byte. The caller dialect defines the names of the request headers.
#pragma once

#include "chicoryrouter/bounded_counter.h"
#include "chicoryrouter/hash.h"
#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/gateway.h"
#include "shell/request_session.h"

#include <algorithm>
#include <concepts>
#include <string>

namespace chicoryrouter {

// The size of a request to a model.
struct request_size
{
    std::uint32_t prompt = 0;
    std::uint32_t maxOutput = 0; // the most that the answer may have

    [[nodiscard]] std::int64_t sum() const { return std::int64_t{prompt} + maxOutput; }
};

// A caller's request, as decoded by the caller dialect.
struct relayed_call
{
    std::string id;                     // the request id sent by the caller; empty if there is none
    std::string key;                    // the client account's secret; empty if there is none
    time_point deadline = noDeadline;   // the caller does not wait beyond this
    std::uint64_t prefix = 0;           // identifies the prompt prefix shared with other requests; 0 if there is none
    std::uint32_t prefixTokens = 0;     // length of that prefix; 0: unknown
    prompt_parts promptParts;           // of the prompt; empty if not stated
    std::optional<request_size> tokens; // empty if not stated
    request_payload payload;
};

template<typename T>
concept caller_dialect = requires(const http_request &request, const http_headers &headers, time_point now, error_kind kind, duration span)
{
    {
        T::decode(request, now)
        } -> std::same_as<relayed_call>; // throws error(BadRequest)
    {
        T::answerHeaders(headers)
        } -> std::same_as<http_headers>; // from the endpoint's answer headers, those that are forwarded to the caller
    {
        T::refusalHeaders(std::string{}, kind, span)
        } -> std::same_as<http_headers>; // `span`: the delay before a retry; zero if no delay is to be sent
};

inline constexpr std::int64_t retryTimeDivisor = 3; // a caller honours a delay of at most this part of the time left until its deadline

// The delay after which a rejected caller should retry. The minimum gives the queue time to drain, and the jitter keeps callers from all
// retrying at once. The delay is at most a third of the time left until the deadline, since callers wait no longer than that.
inline duration retryDelay(duration minimum, duration jitter, time_point now, time_point deadline, seeded_random &random)
{
    const duration delay
        = minimum + duration(static_cast<std::int64_t>(uniformBelow(random, static_cast<std::uint64_t>(std::max<std::int64_t>(jitter.count(), 1)))));
    const duration maximum = deadline == noDeadline ? delay : std::max((deadline - now) / retryTimeDivisor, duration{});
    return std::min(delay, maximum);
}

template<caller_dialect Dialect>
class relay_gateway
{
public:
    relay_gateway(request_host &host, gateway &requestGateway)
        : m_host(host)
        , m_gateway(requestGateway)
    {
    }

    boost::asio::awaitable<void> handle(http_exchange &exchange)
    {
        const scoped_count activeCount(m_gateway.activeCallers);
        relayed_call call;
        error_kind kind = error_kind::Internal;
        std::string detail;
        duration retryAfter{};
        std::shared_ptr<request_session> session;
        try {
            call = Dialect::decode(exchange.request, systemNow());
            session = admit(call, retryAfter);
        } catch (const error &rejection) {
            kind = rejection.kind();
            detail = rejection.detail();
        }
        if (session == nullptr) {
            co_await refuse(exchange, call, kind, detail, retryAfter, false);
            co_return;
        }
        std::string().swap(exchange.request.body); // the session has its own
        exchange.watchCaller([session] { session->onCallerGone(); });
        session->begin();
        co_await answer(exchange, session);
    }

private:
    static constexpr duration minRetryDelay = std::chrono::milliseconds(100); // shortest delay sent with a rejection
    static constexpr duration retryJitter = std::chrono::milliseconds(400);   // upper bound of the random addition

    // Checks whether the request may be served and creates its session; throws error if not.
    std::shared_ptr<request_session> admit(relayed_call &call, duration &retryAfter)
    {
        const time_point now = systemNow();
        request_thread &thread = gateway::currentThread();
        const gateway_config &config = m_gateway.config.read();
        retryAfter = retryDelay(minRetryDelay, retryJitter, now, call.deadline, thread.random);
        if (config.document->revision == 0) {
            throw error(error_kind::NoEndpoint, "this instance has not loaded a configuration yet");
        }
        const contract *route = config.document->content.findRelayedRoute(call.payload.host, call.payload.path);
        if (route == nullptr) {
            throw error(error_kind::UnknownRoute);
        }
        if (now >= m_host.stopBounds().sendUntil) {
            throw error(error_kind::ShuttingDown);
        }
        contract effectiveRoute = *route;
        std::int64_t charged = call.tokens ? call.tokens->sum() : 0;
        effectiveRoute.service = pickWeightedService(*route, config.document->content, charged, thread.random);
        const account_entry *account = route->allowsAnonymous ? nullptr : &findAccount(config, call.key);
        effectiveRoute.rank = account == nullptr ? route->rank : account->account.rank.value_or(route->rank);
        if (const std::optional<std::uint64_t> part = m_host.quarantinedPart(call.promptParts)) {
            throw error(error_kind::PromptQuarantined, "the quarantined part is " + partName(*part));
        }
        const service *targetService = config.document->content.findService(effectiveRoute.service);
        if (!canHold(targetService, charged)) {
            throw error(error_kind::RequestTooLarge,
                "it states " + std::to_string(charged) + " tokens, and an endpoint holds " + std::to_string(targetService->memoryTokens));
        }
        if (m_host.loadControl.isOn()) {
            checkLoad(call, effectiveRoute, account, targetService, now, retryAfter);
        }
        std::int64_t tokensLeft = 0;
        if (account != nullptr) {
            charged = call.tokens ? call.tokens->sum() : account->account.tokensPerPlainCall;
            tokensLeft = account->load->ranked ? chargeRanked(*account, call, charged, effectiveRoute.rank, thread.random, retryAfter)
                                               : charge(*account, charged, retryAfter);
        }
        if (targetService == nullptr) {
            throw error(error_kind::NoEndpoint, "the route's service is not configured");
        }
        request_facts facts = makeFacts(call.id, account == nullptr ? std::string() : account->account.name, effectiveRoute, targetService->kind, now);
        facts.deadline = std::min(facts.deadline, call.deadline);
        facts.waitUntil = std::min(facts.waitUntil, now + (facts.deadline - now) / 2);
        facts.prefix = call.prefix;
        facts.prefixTokens = call.prefixTokens;
        facts.promptTokens = call.tokens ? call.tokens->prompt : 0;
        facts.outputTokens = call.tokens ? call.tokens->maxOutput : 0;
        facts.promptParts = std::move(call.promptParts);
        logEvent(log_event::RequestAdmitted,
            {{"request", call.id}, {"route", effectiveRoute.route}, {"account", facts.account}, {"tokens", charged}, {"tokens_left", tokensLeft},
                {"revision", config.document->revision}, {"deadline_left_ms", inMilliseconds(facts.deadline - now)}});
        return std::make_shared<request_session>(m_host, thread, std::move(facts), std::move(call.payload));
    }

    static const account_entry &findAccount(const gateway_config &config, const std::string &key)
    {
        const auto found = key.empty() ? config.accounts.end() : config.accounts.find(hashToken(key));
        if (found == config.accounts.end()) {
            throw error(error_kind::UnknownAccount);
        }
        return found->second;
    }

    // Deducts the request's tokens from the account's balance and returns what is left.
    static std::int64_t charge(const account_entry &entry, std::int64_t tokens, duration &retryAfter)
    {
        const client_account &account = entry.account;
        if (!entry.load->trySpendTokens(tokens)) {
            retryAfter = std::max(retryAfter, entry.load->retryAfter());
            throw error(error_kind::AccountOverLimit,
                account.name + " requested " + std::to_string(tokens) + " tokens with a balance of " + std::to_string(entry.load->tokensLeft)
                    + " and a refill rate of " + std::to_string(static_cast<std::int64_t>(account.tokensPerSecond)) + " tokens per second");
        }
        return entry.load->tokensLeft;
    }

    // The same for an account whose limit is shared by rank. Each refused caller gets a time of its own to come back.
    static std::int64_t chargeRanked(
        const account_entry &entry, const relayed_call &call, std::int64_t tokens, priority routeRank, seeded_random &random, duration &retryAfter)
    {
        const client_account &account = entry.account;
        const std::size_t rank = accountRank(routeRank, !call.tokens.has_value(), tokens);
        if (!entry.load->trySpendRanked(tokens, rank)) {
            const duration most = call.deadline == noDeadline ? duration::max() : std::max((call.deadline - systemNow()) / retryTimeDivisor, duration{});
            retryAfter = std::max(entry.load->share.comeBack(rank, random.next(), most), std::min(minRetryDelay, most));
            throw error(error_kind::AccountOverLimit,
                account.name + " requested " + std::to_string(tokens) + " tokens with a balance of " + std::to_string(entry.load->tokensLeft) + ", "
                    + std::to_string(entry.load->tokensReserved) + " of them reserved; of rank " + std::to_string(rank) + " "
                    + std::to_string(static_cast<int>(entry.load->share.pass(rank) * 100.0)) + " in 100 requests are admitted");
        }
        return entry.load->tokensLeft;
    }

    // Refuses the request if its service is overloaded. Comes before charge(): a refused request costs its account nothing.
    void checkLoad(
        const relayed_call &call, const contract &route, const account_entry *account, const service *targetService, time_point now, duration &retryAfter)
    {
        const std::shared_ptr<const routing_table> table = m_host.slots.table();
        const service_table *endpoints = table->find(route.service);
        if (targetService == nullptr || targetService->kind != service_kind::Model || endpoints == nullptr) {
            return; // the waits of plain services aren't predicted
        }
        seeded_random &random = gateway::currentThread().random;
        overload_request request;
        request.service = route.service;
        request.account = account == nullptr ? std::string_view() : std::string_view(account->account.name);
        request.rank = route.rank;
        request.weight = account == nullptr ? 1.0 : account->account.weight;
        request.promptTokens = call.tokens ? call.tokens->prompt : 0;
        request.firstTokenTarget = route.firstTokenTarget;
        request.routeDeadline = route.deadline;
        request.deadline = std::min(now + route.deadline, call.deadline);
        const wait_sample sample = sampleWaits(*endpoints, request.promptTokens, random);
        if (sample.known > 0) {
            m_host.counts.observe(latency::AdmissionWait, route.route, sample.medianWait);
        }
        const std::optional<overload_refusal> refusal = m_host.overload.decide(request, sample, now, random);
        if (!refusal) {
            return;
        }
        retryAfter = retryDelay(refusal->comeBackFrom, refusal->comeBackSpread, now, request.deadline, random);
        m_host.counts.countOverload(route.service, toText(route.rank), toText(refusal->reason));
        logEvent(log_event::RequestShed,
            {{"request", call.id}, {"service", route.service}, {"route", route.route}, {"account", request.account}, {"rank", toText(route.rank)},
                {"reason", toText(refusal->reason)}, {"predicted_ms", inMilliseconds(refusal->predicted)}, {"limit_ms", inMilliseconds(refusal->limit)},
                {"prompt_tokens", request.promptTokens}, {"load_permille", refusal->takenPermille}, {"refused_permille", refusal->refusedPermille},
                {"deadline_left_ms", inMilliseconds(request.deadline - now)}});
        throw error(error_kind::Overloaded, "by the " + std::string(toText(refusal->reason)) + " and the predicted wait");
    }

    // Whether an endpoint of the service has memory for a request of so many tokens. An endpoint refuses a larger one each time.
    static bool canHold(const service *target, std::int64_t tokens) { return target == nullptr || target->memoryTokens == 0 || tokens <= target->memoryTokens; }

    // Chooses a service at random, in proportion to the weights of the route's split, among those that can hold the request. If none can, or without
    // weights, it is the route's own service.
    static std::string pickWeightedService(const contract &route, const document &content, std::int64_t tokens, seeded_random &random)
    {
        const auto weightOf = [&](const service_share &share) {
            return canHold(content.findService(share.service), tokens) ? share.weight : 0;
        };
        std::uint64_t totalWeight = 0;
        for (const service_share &share : route.split) {
            totalWeight += weightOf(share);
        }
        if (totalWeight == 0) {
            return route.service;
        }
        std::uint64_t position = uniformBelow(random, totalWeight);
        for (const service_share &share : route.split) {
            if (position < weightOf(share)) {
                return share.service;
            }
            position -= weightOf(share);
        }
        return route.service;
    }

    // Sends an error to the caller. `hadSession`: the request's session has already counted and logged the failure, so that only the response
    // is missing.
    boost::asio::awaitable<void> refuse(
        http_exchange &exchange, const relayed_call &call, error_kind kind, const std::string &detail, duration retryAfter, bool hadSession)
    {
        if (!hadSession) {
            m_host.counts.countFailure(kind);
            m_host.counts.countOutcome("", responseFor(kind).name);
        }
        const error_response &response = responseFor(kind);
        const duration sentRetryAfter = response.retryable ? retryAfter : duration{};
        logEvent(hadSession ? log_event::FailureTold : log_event::RequestRefused,
            {{"request", call.id}, {"error", response.name}, {"status", response.httpStatus}, {"why", detail},
                {"revision", m_gateway.config.read().document->revision}, {"come_back_ms", inMilliseconds(sentRetryAfter)}});
        co_await exchange.respondWithHeaders(response.httpStatus, Dialect::refusalHeaders(call.id, kind, sentRetryAfter), errorBody(kind, call.id, detail));
    }

    boost::asio::awaitable<void> answer(http_exchange &exchange, const std::shared_ptr<request_session> &session)
    {
        while (session->readable() == 0 && !session->isOver()) {
            co_await session->waitForChange();
        }
        const bool streaming = session->facts().kind == service_kind::Model && session->answeredByEndpoint() && session->status() == 200;
        if (streaming && session->readable() > 0) {
            co_await answerStream(exchange, session);
            co_return;
        }
        while (!session->isOver()) {
            co_await session->waitForChange();
        }
        if (!session->failed()) {
            co_await exchange.respondWithHeaders(session->status(), Dialect::answerHeaders(session->answerHeaders()), session->takeText());
            co_return;
        }
        relayed_call call;
        call.id = session->facts().id;
        call.deadline = session->facts().deadline;
        const duration retryAfter = retryDelay(minRetryDelay, retryJitter, systemNow(), call.deadline, gateway::currentThread().random);
        co_await refuse(exchange, call, session->failure(), {}, retryAfter, true);
    }

    boost::asio::awaitable<void> answerStream(http_exchange &exchange, const std::shared_ptr<request_session> &session)
    {
        bool open = co_await exchange.startStreamWithHeaders(session->status(), Dialect::answerHeaders(session->answerHeaders()));
        std::uint32_t next = 0;
        std::string batch;
        while (open) {
            batch.clear();
            for (const std::uint32_t end = session->readable(); next < end && batch.size() < maxBatchBytes; ++next) {
                batch += session->token(next);
            }
            const bool last = session->isOver() && next >= session->readable();
            open = co_await exchange.writeChunk(batch);
            session->onReaderProgress(next);
            if (last) {
                break;
            }
            if (open && next >= session->readable() && !session->isOver()) {
                co_await session->waitForChange();
            }
        }
        if (open && !session->failed()) {
            co_await exchange.endStream();
        } else {
            exchange.abandon(); // closes the connection without a final chunk, so that the caller sees that the answer is truncated
        }
        if (!session->isOver()) {
            session->onCallerGone();
        }
    }

    request_host &m_host;
    gateway &m_gateway;
};

} // namespace chicoryrouter
