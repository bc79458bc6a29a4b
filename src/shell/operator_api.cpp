// The calls of the operator API.
#include "shell/operator_api.h"

#include "chicoryrouter/error.h"
#include "shell/console_page.h"
#include "shell/request_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view explainPath = "/operator/explain/";

std::uint64_t expectedRevision(const http_request &request)
{
    const std::string text = request.parameter("expect-revision");
    std::uint64_t revision = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size()) {
        throw error(error_kind::BadRequest, "the query parameter expect-revision is missing or not a number");
    }
    return revision;
}

} // namespace

operator_api::operator_api(const settings &config, control &controller, request_host &host, gateway &requestGateway)
    : m_settings(config)
    , m_control(controller)
    , m_host(host)
    , m_gateway(requestGateway)
{
}

void operator_api::authorize(const http_request &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.header("Authorization");
    if (header.substr(0, scheme.size()) != scheme || hashToken(header.substr(scheme.size())) != m_settings.operatorTokenHash) {
        throw error(error_kind::NotAuthorized);
    }
}

asio::awaitable<void> operator_api::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request;
    if (request.path == "/operator/console") {
        co_await exchange.respond(200, "text/html; charset=utf-8", consolePage());
        co_return;
    }
    authorize(request);
    if (request.path == "/operator/status") {
        std::string status = co_await asio::co_spawn(
            m_control.context(), [this]() -> asio::awaitable<std::string> { co_return m_control.composeStatus(); }, asio::use_awaitable);
        co_await exchange.respond(200, "application/json", std::move(status));
    } else if (request.path == "/operator/document" && request.method == "GET") {
        co_await getDocument(exchange);
    } else if (request.path == "/operator/document" && request.method == "PUT") {
        co_await putDocument(exchange);
    } else if (request.path == "/operator/check" && request.method == "POST") {
        co_await checkDocument(exchange);
    } else if (request.path == "/operator/schema") {
        co_await exchange.respond(200, "application/json", documentSchema());
    } else if (request.path.rfind(explainPath, 0) == 0) {
        co_await explain(exchange, request.path.substr(explainPath.size()));
    } else {
        throw error(error_kind::UnknownRoute);
    }
}

asio::awaitable<void> operator_api::getDocument(http_exchange &exchange)
{
    const auto document = m_control.currentDocument();
    const bool asJson = exchange.request.parameter("form") == "json";
    const http_headers revision = {{"X-Revision", std::to_string(document->revision)}};
    std::string text = asJson ? documentJson(document->text) : document->text;
    co_await exchange.respond(200, asJson ? "application/json" : "application/yaml", std::move(text), revision);
}

asio::awaitable<void> operator_api::putDocument(http_exchange &exchange)
{
    const std::uint64_t expected = expectedRevision(exchange.request);
    std::string yaml = exchange.request.body;
    const std::uint64_t revision = co_await asio::co_spawn(m_control.context(), m_control.applyDocument(std::move(yaml), expected), asio::use_awaitable);
    const std::string answer = json({{"revision", revision}}).dump();
    co_await exchange.respond(200, "application/json", answer);
}

// Validates a document and returns how it differs from the current one, without applying it. Validation errors are listed in the error's
// detail, one per line.
asio::awaitable<void> operator_api::checkDocument(http_exchange &exchange)
{
    parseDocument(exchange.request.body);
    const auto document = m_control.currentDocument();
    const std::string answer = json({{"revision", document->revision}, {"differences", documentDifferences(document->text, exchange.request.body)}}).dump();
    co_await exchange.respond(200, "application/json", answer);
}

asio::awaitable<void> operator_api::explain(http_exchange &exchange, std::string requestId)
{
    const auto session = m_host.find(requestId);
    if (session == nullptr) {
        throw error(
            error_kind::UnknownRequest, "the request is not known here; a request is kept for one minute after it ends, on the instance that served it");
    }
    const auto here = exchange.executor();
    std::string history = co_await asio::co_spawn(
        session->context(), [session]() -> asio::awaitable<std::string> { co_return session->explain(); }, asio::use_awaitable);
    const std::string answer
        = json({{"request_id", requestId}, {"route", session->facts().route.route}, {"account", session->facts().account}, {"decisions", history}}).dump();
    co_await exchange.respond(200, "application/json", answer);
}

} // namespace chicoryrouter
