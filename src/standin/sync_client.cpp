// Runs each call on a private I/O context until it completes.
#include "standin/sync_client.h"

#include "shell/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <array>

namespace chicoryrouter {

namespace asio = boost::asio;

http_response sync_client::call(const address &server, http_call request, duration timeout)
{
    http_client client(m_context.get_executor());
    auto result = asio::co_spawn(
        m_context, [&]() -> asio::awaitable<http_response> { co_return co_await client.call(server, request, systemNow() + timeout, SIZE_MAX); },
        asio::use_future);
    m_context.restart();
    m_context.run();
    return result.get();
}

sync_client::partial_response sync_client::callAllowingPartial(const address &server, http_call request, std::size_t stopAfter, duration timeout)
{
    http_client client(m_context.get_executor());
    partial_response result;
    auto running = asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            const auto stream = co_await client.open(server, request, systemNow() + timeout, true, nullptr);
            result.response.status = stream->status;
            result.response.headers = stream->headers;
            std::array<char, 4096> buffer{};
            while (result.response.body.size() < stopAfter) {
                const std::size_t got = co_await stream->readSome(buffer.data(), buffer.size());
                result.response.body.append(buffer.data(), got);
                result.complete = got == 0;
                if (result.complete) {
                    break;
                }
            }
        },
        asio::use_future);
    m_context.restart();
    m_context.run();
    try {
        running.get();
    } catch (const http_failure &) {
        result.complete = false;
    }
    return result;
}

http_headers bearer(const std::string &token)
{
    return {{"Authorization", "Bearer " + token}};
}

std::string streamedText(const std::string &events)
{
    constexpr std::string_view prefix = "data: ";
    std::string text;
    std::size_t at = 0;
    while ((at = events.find(prefix, at)) != std::string::npos) {
        at += prefix.size();
        const std::size_t end = events.find("\n\n", at);
        if (end == std::string::npos) {
            break; // the stream was cut off within this event
        }
        const auto value = nlohmann::json::parse(events.substr(at, end - at), nullptr, false);
        if (!value.is_object() || !value.contains("choices")) {
            continue;
        }
        const auto &choice = value["choices"][0];
        const auto &token = choice.contains("text") ? choice["text"] : choice["delta"]["content"];
        text += token.get<std::string>();
    }
    return text;
}

std::size_t streamedTokens(const std::string &events)
{
    std::size_t count = 0;
    for (std::size_t at = events.find("id: "); at != std::string::npos; at = events.find("id: ", at + 1)) {
        count += events.find("\n\n", at) != std::string::npos ? 1 : 0;
    }
    return count;
}

bool streamEnded(const std::string &events)
{
    return events.size() >= 8 && events.find("data: [DONE]") != std::string::npos;
}

} // namespace chicoryrouter
