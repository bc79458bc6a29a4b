// HTTP calls to the key-value service; the protocol is described in docs/STANDINS.md.
#include "shell/store_client.h"

#include "shell/clock.h"

#include <charconv>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxValueBytes = 1'100'000;

store_outcome outcomeOf(int status)
{
    switch (status) {
    case 200:
        return store_outcome::Ok;
    case 404:
        return store_outcome::NotFound;
    case 409:
        return store_outcome::Conflict;
    default:
        return store_outcome::Unavailable;
    }
}

std::uint64_t versionOf(const http_response &response)
{
    const std::string_view text = findHeader(response.headers, "X-Version");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

store_client::store_client(asio::any_io_executor executor, address serviceAddress, std::shared_ptr<store_counters> counters)
    : m_client(std::move(executor))
    , m_serviceAddress(std::move(serviceAddress))
    , m_counters(std::move(counters))
{
}

asio::awaitable<store_reply> store_client::call(http_call request, time_point deadline)
{
    try {
        http_response response = co_await m_client.call(m_serviceAddress, std::move(request), deadline, maxValueBytes);
        store_reply reply;
        reply.outcome = outcomeOf(response.status);
        reply.version = versionOf(response);
        reply.value = std::move(response.body);
        co_return reply;
    } catch (const http_failure &) {
        co_return store_reply{};
    }
}

asio::awaitable<store_reply> store_client::get(std::string key, time_point deadline)
{
    ++m_counters->reads;
    http_call request;
    request.target = "/kv/" + key;
    co_return co_await call(std::move(request), deadline);
}

asio::awaitable<store_reply> store_client::compareAndSwap(
    std::string key, std::uint64_t expectedVersion, std::string value, duration timeToLive, time_point deadline)
{
    ++m_counters->writes;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    http_call request;
    request.method = "PUT";
    request.target = "/kv/" + key + "?expect=" + std::to_string(expectedVersion) + (seconds > 0 ? "&ttl_s=" + std::to_string(seconds) : "");
    request.body = std::move(value);
    co_return co_await call(std::move(request), deadline);
}

asio::awaitable<store_reply> store_client::remove(std::string key, std::uint64_t expectedVersion, time_point deadline)
{
    ++m_counters->writes;
    http_call request;
    request.method = "DELETE";
    request.target = "/kv/" + key + "?expect=" + std::to_string(expectedVersion);
    co_return co_await call(std::move(request), deadline);
}

asio::awaitable<store_reply> store_client::watch(std::string key, std::uint64_t afterVersion, time_point deadline)
{
    ++m_counters->watches;
    const auto wait = std::chrono::floor<std::chrono::milliseconds>(deadline - systemNow()).count();
    http_call request;
    request.target = "/kv/" + key + "?after=" + std::to_string(afterVersion) + "&wait_ms=" + std::to_string(std::max<std::int64_t>(wait, 0));
    co_return co_await call(std::move(request), deadline + std::chrono::seconds(1));
}

} // namespace chicoryrouter
