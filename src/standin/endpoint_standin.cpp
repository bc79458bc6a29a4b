// Implements the simulated model engine and the simulated plain service.
#include "standin/endpoint_standin.h"

#include "chicoryrouter/bounded_counter.h"
#include "chicoryrouter/hash.h"
#include "shell/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kvBlobBytesPerIdCharacter = 8;
constexpr duration queuePollInterval = std::chrono::milliseconds(2);

asio::awaitable<void> pause(const http_exchange &exchange, duration span)
{
    if (span > duration{}) {
        asio::steady_timer timer(exchange.executor(), span);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

http_headers requestIdHeader(const http_request &request)
{
    return {{"X-Request-Id", std::string(request.header("X-Request-Id"))}};
}

http_headers notRunHeader()
{
    return {{"X-Not-Run", "1"}};
}

http_server_limits engineLimits()
{
    http_server_limits limits;
    limits.maxBodyBytes = 64 * 1024 * 1024; // of transferred memory
    return limits;
}

} // namespace

std::string standinToken(std::string_view prompt, std::uint32_t index)
{
    return "w" + std::to_string(mixBits(hashBytes(prompt) + index) % 1000) + " ";
}

std::string standinAnswer(std::string_view prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        text += standinToken(prompt, i);
    }
    return text;
}

engine_standin::engine_standin(worker_pool &workers, std::string id, engine_options options, std::uint16_t port)
    : m_id(std::move(id))
    , m_options(options)
    , m_server(
          workers, {"127.0.0.1", port}, [this](http_exchange &exchange) { return handle(exchange); }, engineLimits())
{
}

address engine_standin::listenAddress() const
{
    return {"127.0.0.1", m_server.port()};
}

void engine_standin::resetCache()
{
    const std::lock_guard guard(m_lock);
    m_prefixes.clear();
    m_completed = 0;
    ++m_epoch;
}

void engine_standin::crash()
{
    faults.down = true;
    m_server.abortAll();
}

asio::awaitable<void> engine_standin::handle(http_exchange &exchange)
{
    const std::string &path = exchange.request.path;
    if (faults.down) {
        exchange.abandon();
    } else if (path == "/generate") {
        co_await generate(exchange);
    } else if (path == "/load") {
        co_await exchange.respond(200, "application/json", loadText());
    } else if (path == "/kv/export") {
        co_await exportKv(exchange);
    } else if (path == "/kv/import") {
        {
            const std::lock_guard guard(m_lock);
            m_imported.insert(exchange.request.parameter("id"));
        }
        co_await exchange.respond(200, "text/plain", "");
    } else if (path == "/orders") {
        co_await handleControlOrder(exchange);
    } else {
        co_await exchange.respond(404, "text/plain", "");
    }
}

std::string engine_standin::loadText()
{
    return json({{"id", m_id}, {"epoch", m_epoch.load()}, {"sequence", ++m_sequence}, {"completed", m_completed.load()}, {"running", m_running.load()},
                    {"queued", m_queued.load()}})
        .dump();
}

bool engine_standin::isCached(std::string_view prompt)
{
    const std::uint64_t key = prefixKey(prompt);
    const std::lock_guard guard(m_lock);
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), key);
    const bool cached = key != 0 && found != m_prefixes.end();
    if (found != m_prefixes.end()) {
        m_prefixes.erase(found);
    }
    if (key != 0) {
        m_prefixes.push_back(key);
    }
    if (m_prefixes.size() > m_options.cachedPrefixes) {
        m_prefixes.erase(m_prefixes.begin());
    }
    return cached;
}

asio::awaitable<void> engine_standin::generate(http_exchange &exchange)
{
    const json body = json::parse(exchange.request.body, nullptr, false);
    const std::string id = body.at("id");
    const std::uint32_t attempt = body.at("attempt");
    const std::string prompt = body.at("prompt");
    const std::uint32_t total = body.at("max_tokens");
    std::uint32_t next = 0;
    if (body.contains("resume")) {
        next = body["resume"].at("tokens");
        const bool hasKvCache = [&] {
            const std::lock_guard guard(m_lock);
            return m_imported.erase(id) > 0;
        }();
        m_recomputed += hasKvCache ? 0 : next;
    }
    if (faults.refuse) {
        co_await exchange.respond(503, "text/plain", "", notRunHeader());
        co_return;
    }
    const std::uint64_t number = ++m_started;
    if (static_cast<int>(mixBits(number) % 100) < faults.failPercent) {
        co_await exchange.respond(500, "text/plain", "");
        co_return;
    }
    if (faults.malformedAnswers) {
        co_await exchange.respond(200, "text/event-stream", "<html>no engine</html>\n");
        co_return;
    }
    while (faults.neverAnswers) {
        co_await pause(exchange, queuePollInterval);
    }
    bool disconnected = false;
    exchange.watchCaller([&disconnected] { disconnected = true; });
    {
        const scoped_count queued(m_queued);
        while (m_running >= m_options.maxConcurrentStreams && !disconnected) {
            co_await pause(exchange, queuePollInterval);
        }
    }
    const scoped_count running(m_running);
    co_await pause(exchange, (isCached(prompt) ? m_options.cachedPrefillDelay : m_options.prefillDelay) * faults.slowFactor.load());
    bool open = !disconnected;
    if (open) {
        open = co_await exchange.startStream(200, "text/event-stream");
    }
    const std::uint32_t first = next;
    while (open && !disconnected && next < total) {
        if (faults.down || (faults.closeAfterTokens >= 0 && next - first >= static_cast<std::uint32_t>(faults.closeAfterTokens))) {
            exchange.abandon();
            co_return;
        }
        std::string batch;
        if (faults.sendsForeignTokens) {
            batch += R"(data: {"id":"another","attempt":1,"index":)" + std::to_string(next) + R"(,"token":"wrong "})" + "\n\n";
        }
        const std::uint32_t end = std::min(total, next + m_options.tokensPerWrite);
        for (; next < end; ++next) {
            batch += R"(data: {"id":")" + id + R"(","attempt":)" + std::to_string(attempt) + R"(,"index":)" + std::to_string(next) + R"(,"token":")"
                + standinToken(prompt, next) + "\"}\n\n";
        }
        open = co_await exchange.writeChunk(batch);
        co_await pause(exchange, m_options.betweenTokens * m_options.tokensPerWrite * faults.slowFactor.load());
    }
    if (open && !disconnected) {
        ++m_completed;
        co_await exchange.writeChunk(
            R"(data: {"id":")" + id + R"(","attempt":)" + std::to_string(attempt) + R"(,"done":true,"tokens":)" + std::to_string(total) + "}\n\n");
        co_await exchange.endStream();
    }
}

asio::awaitable<void> engine_standin::exportKv(http_exchange &exchange)
{
    const json body = json::parse(exchange.request.body, nullptr, false);
    co_await exchange.respond(200, "application/octet-stream", std::string(kvBlobBytesPerIdCharacter * body.at("id").get<std::string>().size(), 'k'));
}

asio::awaitable<void> engine_standin::handleControlOrder(http_exchange &exchange)
{
    const json body = json::parse(exchange.request.body, nullptr, false);
    const std::uint64_t fencing = body.at("fencing");
    bool accepted = false;
    {
        const std::lock_guard guard(m_lock);
        accepted = fencing >= m_fencing || faults.ignoresFencing;
        m_fencing = std::max(m_fencing, fencing);
        if (accepted) {
            m_appliedOrders[body.at("name")] = body.at("value");
        }
    }
    co_await exchange.respond(accepted ? 200 : 409, "application/json", "{}");
}

plain_standin::plain_standin(worker_pool &workers, std::string id, std::uint16_t port)
    : m_id(std::move(id))
    , m_server(workers, {"127.0.0.1", port}, [this](http_exchange &exchange) { return handle(exchange); })
{
}

address plain_standin::listenAddress() const
{
    return {"127.0.0.1", m_server.port()};
}

int plain_standin::maxRunsPerKey()
{
    const std::lock_guard guard(m_lock);
    int most = 0;
    for (const auto &[key, runs] : m_runsByKey) {
        most = std::max(most, runs);
    }
    return most;
}

std::string plain_standin::loadText() const
{
    return json({{"id", m_id}, {"epoch", 1}, {"sequence", 1 + m_calls}, {"completed", m_calls.load()}, {"running", 0}, {"queued", 0}}).dump();
}

std::string plain_standin::answerText(const http_request &request, bool isOrder) const
{
    const json answer = isOrder ? json({{"order", m_orders.load()}, {"at", m_id}}) : json({{"item", request.path}, {"in_stock", 42}, {"at", m_id}});
    return answer.dump();
}

asio::awaitable<void> plain_standin::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request;
    if (request.path == "/load") {
        co_await exchange.respond(200, "application/json", loadText());
        co_return;
    }
    if (faults.down) {
        exchange.abandon();
        co_return;
    }
    if (faults.refuse) {
        co_await exchange.respond(503, "text/plain", "", notRunHeader());
        co_return;
    }
    ++m_calls;
    co_await pause(exchange, std::chrono::milliseconds(faults.slowMillis));
    const bool isOrder = request.method == "POST";
    if (isOrder) {
        ++m_orders;
        const std::lock_guard guard(m_lock);
        ++m_runsByKey[std::string(request.header("Idempotency-Key"))];
    }
    if (faults.cutAfterRunning) {
        exchange.abandon();
        co_return;
    }
    const std::string answer = answerText(request, isOrder);
    const http_headers headers = requestIdHeader(request);
    co_await exchange.respond(200, "application/json", answer, headers);
}

} // namespace chicoryrouter
