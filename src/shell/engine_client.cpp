// Formats requests to endpoints and parses the engines' event streams.
#include "shell/engine_client.h"

#include <nlohmann/json.hpp>

namespace chicoryrouter {

namespace {

constexpr std::size_t maxLineBytes = 64 * 1024;
constexpr std::string_view dataPrefix = "data: ";

engine_event parseEvent(std::string_view text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    try {
        engine_event event;
        event.requestId = value.at("id");
        event.attempt = value.at("attempt");
        event.done = value.value("done", false);
        event.index = value.at(event.done ? "tokens" : "index");
        if (!event.done) {
            event.token = value.at("token");
        }
        return event;
    } catch (const nlohmann::json::exception &) {
        throw error(error_kind::EndpointGarbage,
            "an engine event is not JSON with the fields id, attempt, index and token (in the last event: id, attempt, done and tokens)");
    }
}

} // namespace

void engine_event_reader::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    m_buffer.append(bytes);
}

std::optional<engine_event> engine_event_reader::next()
{
    while (true) {
        const auto end = m_buffer.find('\n', m_consumed);
        if (end == std::string::npos) {
            if (m_buffer.size() - m_consumed > maxLineBytes) {
                throw error(error_kind::EndpointGarbage, "a line of the engine's stream exceeds the maximum length");
            }
            return std::nullopt;
        }
        const std::string_view line = std::string_view(m_buffer).substr(m_consumed, end - m_consumed);
        m_consumed = end + 1;
        if (line.empty() || line == "\r") {
            continue;
        }
        if (line.substr(0, dataPrefix.size()) != dataPrefix) {
            throw error(error_kind::EndpointGarbage, "a line of the engine's stream does not begin with 'data: '");
        }
        return parseEvent(line.substr(dataPrefix.size()));
    }
}

http_call engineRequest(const request_payload &payload, const engine_call &call)
{
    nlohmann::json body
        = {{"id", call.requestId}, {"attempt", call.attempt}, {"prompt", payload.prompt}, {"max_tokens", payload.maxTokens}, {"priority", toText(call.rank)}};
    if (call.resumeFrom > 0) {
        body["resume"] = {{"tokens", call.resumeFrom}, {"text", call.resumeText}, {"kv", call.withTransferredKv}};
    }
    http_call request;
    request.method = "POST";
    request.target = "/generate";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return request;
}

http_call plainRequest(const request_payload &payload, const engine_call &call)
{
    http_call request;
    request.method = payload.method;
    request.target = payload.target;
    request.headers = {{"X-Request-Id", call.requestId}};
    if (!payload.contentType.empty()) {
        request.headers.push_back({"Content-Type", payload.contentType});
    }
    if (!payload.idempotencyKey.empty()) {
        request.headers.push_back({"Idempotency-Key", payload.idempotencyKey});
    }
    request.body = payload.body;
    return request;
}

http_call kvExportRequest(std::string_view requestId, std::uint32_t attempt)
{
    http_call request;
    request.method = "POST";
    request.target = "/kv/export";
    request.body = nlohmann::json({{"id", requestId}, {"attempt", attempt}}).dump();
    return request;
}

http_call kvImportRequest(std::string_view requestId, std::string blob)
{
    http_call request;
    request.method = "POST";
    request.target = "/kv/import?id=" + std::string(requestId);
    request.headers = {{"Content-Type", "application/octet-stream"}};
    request.body = std::move(blob);
    return request;
}

bool provesNotRun(int status, const http_headers &headers)
{
    return status == 503 && findHeader(headers, "X-Not-Run") == "1";
}

} // namespace chicoryrouter
