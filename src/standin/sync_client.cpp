// Blocking calls.
#include "standin/sync_client.h"

#include "shell/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;

http_response sync_client::call(const address &where, http_call request, duration within)
{
    http_client client(m_context.get_executor());
    auto result = asio::co_spawn(
        m_context, [&]() -> asio::awaitable<http_response> { co_return co_await client.call(where, request, systemNow() + within, SIZE_MAX); },
        asio::use_future);
    m_context.restart();
    m_context.run();
    return result.get();
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
        const auto value = nlohmann::json::parse(events.substr(at, events.find('\n', at) - at), nullptr, false);
        if (!value.is_object() || !value.contains("choices")) {
            continue;
        }
        const auto &choice = value["choices"][0];
        const auto &token = choice.contains("text") ? choice["text"] : choice["delta"]["content"];
        text += token.get<std::string>();
    }
    return text;
}

bool streamEnded(const std::string &events)
{
    return events.size() >= 8 && events.find("data: [DONE]") != std::string::npos;
}

} // namespace chicoryrouter
