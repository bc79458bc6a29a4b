// Implements the simulated key-value service.
#include "standin/store_standin.h"

#include "shell/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

constexpr std::string_view keyPath = "/kv/";
constexpr duration watchPollInterval = std::chrono::milliseconds(10);

std::uint64_t numberOr(const std::string &text, std::uint64_t fallback)
{
    return text.empty() ? fallback : std::stoull(text);
}

http_headers versionHeader(std::uint64_t version)
{
    return {{"X-Version", std::to_string(version)}};
}

asio::awaitable<void> pause(http_exchange &exchange, duration span)
{
    asio::steady_timer timer(exchange.executor(), span);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

store_standin::store_standin(worker_pool &workers, std::uint16_t port)
    : m_server(workers, {"127.0.0.1", port}, [this](http_exchange &exchange) { return handle(exchange); })
{
}

address store_standin::listenAddress() const
{
    return {"127.0.0.1", m_server.port()};
}

store_standin::entry *store_standin::findLive(const std::string &key)
{
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
        return nullptr;
    }
    if (found->second.expiresAt <= systemNow()) {
        m_values.erase(found);
        return nullptr;
    }
    return &found->second;
}

std::uint64_t store_standin::put(const std::string &key, std::string value)
{
    const std::lock_guard guard(m_lock);
    m_values[key] = {std::move(value), ++m_versions, noDeadline};
    return m_versions;
}

std::string store_standin::value(const std::string &key)
{
    const std::lock_guard guard(m_lock);
    const entry *found = findLive(key);
    return found == nullptr ? std::string() : found->value;
}

asio::awaitable<void> store_standin::handle(http_exchange &exchange)
{
    ++m_calls;
    if (faults.down) {
        exchange.abandon();
        co_return;
    }
    if (faults.slowMillis > 0) {
        co_await pause(exchange, std::chrono::milliseconds(faults.slowMillis));
    }
    if (exchange.request.path.rfind(keyPath, 0) != 0) {
        throw error(error_kind::UnknownRoute);
    }
    const std::string key = exchange.request.path.substr(keyPath.size());
    if (exchange.request.method == "GET") {
        const std::string after = exchange.request.parameter("after");
        co_await answerWatch(exchange, key, after.empty() ? UINT64_MAX : std::stoull(after));
    } else {
        co_await answerWrite(exchange, key);
    }
}

// Serves reads and watches. A plain read has no `after` parameter and is answered immediately.
asio::awaitable<void> store_standin::answerWatch(http_exchange &exchange, std::string key, std::uint64_t after)
{
    const bool isWatch = after != UINT64_MAX;
    const time_point deadline = systemNow() + std::chrono::milliseconds(numberOr(exchange.request.parameter("wait_ms"), 0));
    while (!faults.down) {
        std::string value;
        std::uint64_t version = 0;
        {
            const std::lock_guard guard(m_lock);
            if (const entry *found = findLive(key)) {
                value = found->value;
                version = found->version;
            }
        }
        if (version != 0 && (!isWatch || version > after)) {
            co_await exchange.respond(200, "application/octet-stream", std::move(value), versionHeader(version));
            co_return;
        }
        if (!isWatch) {
            co_await exchange.respond(404, "text/plain", "");
            co_return;
        }
        if (systemNow() >= deadline) {
            co_await exchange.respond(304, "text/plain", "");
            co_return;
        }
        co_await pause(exchange, watchPollInterval);
    }
    exchange.abandon();
}

asio::awaitable<void> store_standin::answerWrite(http_exchange &exchange, std::string key)
{
    const std::uint64_t expected = numberOr(exchange.request.parameter("expect"), 0);
    const std::uint64_t ttl = numberOr(exchange.request.parameter("ttl_s"), 0);
    bool matches = false;
    std::uint64_t version = 0;
    {
        const std::lock_guard guard(m_lock);
        const entry *found = findLive(key);
        version = found == nullptr ? 0 : found->version;
        matches = version == expected;
        if (matches && exchange.request.method == "DELETE") {
            m_values.erase(key);
        } else if (matches) {
            version = ++m_versions;
            const time_point dropAt = ttl == 0 ? noDeadline : systemNow() + std::chrono::seconds(ttl);
            m_values[key] = {exchange.request.body, version, dropAt};
        }
    }
    if (matches && faults.loseReplies > 0) {
        --faults.loseReplies;
        exchange.abandon();
        co_return;
    }
    co_await exchange.respond(matches ? 200 : 409, "text/plain", "", versionHeader(version));
}

} // namespace chicoryrouter
