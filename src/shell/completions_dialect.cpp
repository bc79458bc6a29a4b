// Parsing and formatting of the completions API.
#include "shell/completions_dialect.h"

#include <charconv>

namespace chicoryrouter {

using nlohmann::json;

namespace {

constexpr std::uint32_t maxTokensLimit = 32'768;
constexpr std::uint32_t defaultMaxTokens = 256;

std::string chatPrompt(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        throw error(error_kind::BadRequest, "field 'messages' is missing or empty");
    }
    std::string prompt;
    for (const json &message : *messages) {
        if (!message.is_object()) {
            throw error(error_kind::BadRequest, "an element of field 'messages' is not a JSON object");
        }
        prompt += field<std::string>(message, "role", "user") + ": " + field<std::string>(message, "content", "") + "\n";
    }
    return prompt;
}

std::string eventText(const request_session &session, std::uint32_t index, const std::string &prefix)
{
    const std::string token = dumpJson(std::string(session.token(index)));
    const std::string content = session.payload().chat ? "\"delta\":{\"content\":" + token + "}" : "\"text\":" + token;
    return "id: " + std::to_string(index) + "\ndata: " + prefix + content + ",\"finish_reason\":null}]}\n\n";
}

} // namespace

std::string dumpJson(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parseBody(const std::string &body)
{
    json value = json::parse(body, nullptr, false);
    if (!value.is_object()) {
        throw error(error_kind::BadRequest, "the request body is not a JSON object");
    }
    return value;
}

request_payload modelPayload(const json &body, bool chat)
{
    request_payload payload;
    payload.chat = chat;
    payload.stream = field(body, "stream", false);
    const auto maxTokens = field<std::int64_t>(body, "max_tokens", defaultMaxTokens);
    if (maxTokens < 1 || maxTokens > maxTokensLimit) {
        throw error(error_kind::BadRequest, "field 'max_tokens' must be from 1 to " + std::to_string(maxTokensLimit));
    }
    payload.maxTokens = static_cast<std::uint32_t>(maxTokens);
    payload.prompt = chat ? chatPrompt(body) : field<std::string>(body, "prompt", "");
    if (payload.prompt.empty()) {
        throw error(error_kind::BadRequest, "field 'prompt' is missing or empty");
    }
    return payload;
}

std::string eventPrefix(const request_session &session)
{
    const char *object = session.payload().chat ? "chat.completion.chunk" : "text_completion";
    return R"({"id":")" + session.facts().id + R"(","object":")" + object + R"(","model":")" + session.facts().route.route + R"(","choices":[{"index":0,)";
}

std::string errorEvent(const std::string &id, error_kind kind)
{
    return "event: error\ndata: " + errorBody(kind, id, "") + "\n\n";
}

std::string formatEvents(const request_session &session, std::uint32_t &next, const std::string &prefix)
{
    std::string batch;
    const std::uint32_t end = session.readable();
    for (; next < end && batch.size() < maxBatchBytes; ++next) {
        batch += eventText(session, next, prefix);
    }
    if (next >= end && session.isOver() && !session.isHandedOver()) {
        batch += session.failed() ? errorEvent(session.facts().id, session.failure()) : "data: [DONE]\n\n";
    }
    return batch;
}

std::string completionBody(const request_session &session, const std::string &text, std::uint32_t tokens)
{
    json choice = {{"index", 0}, {"finish_reason", "stop"}};
    if (session.payload().chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const json body = {{"id", session.facts().id}, {"object", session.payload().chat ? "chat.completion" : "text_completion"},
        {"model", session.facts().route.route}, {"choices", json::array({choice})}, {"usage", {{"completion_tokens", tokens}}}};
    return dumpJson(body);
}

std::uint32_t resumeIndex(const http_request &request)
{
    const std::string_view text = request.header("Last-Event-ID");
    if (text.empty()) {
        return 0;
    }
    std::uint32_t last = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), last);
    if (fault != std::errc() || end != text.data() + text.size()) {
        throw error(error_kind::BadRequest, "the Last-Event-ID header is not a token index");
    }
    return last + 1;
}

} // namespace chicoryrouter
