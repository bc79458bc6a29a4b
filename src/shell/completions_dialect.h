// The completions API for callers: parses JSON request bodies, and formats JSON bodies and server-sent events.
#pragma once

#include "chicoryrouter/error.h"
#include "shell/http.h"
#include "shell/request_session.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace chicoryrouter {

std::string dumpJson(const nlohmann::json &value);                   // invalid UTF-8 is replaced by U+FFFD
nlohmann::json parseBody(const std::string &body);                   // throws error(BadRequest) unless the body is a JSON object
request_payload modelPayload(const nlohmann::json &body, bool chat); // throws error(BadRequest) that names the invalid field
std::uint32_t resumeIndex(const http_request &request);              // index after Last-Event-ID, or 0 without it; throws error(BadRequest)
std::string eventPrefix(const request_session &session);             // the start of every token event's data; the same for all events of a request
std::string errorEvent(const std::string &id, error_kind kind);      // ends a stream whose request failed
// Formats the tokens from index `next` on as events and advances `next` past them. Adds the final event if the request ended on this instance.
std::string formatEvents(const request_session &session, std::uint32_t &next, const std::string &prefix);
std::string completionBody(const request_session &session, const std::string &text, std::uint32_t tokens); // JSON body of an answer that is not streamed

// Returns a field of a JSON object, or `fallback` if it is missing or null. Throws error(BadRequest) if it has another type.
template<typename T>
T field(const nlohmann::json &object, const char *key, T fallback)
{
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) {
        return fallback;
    }
    try {
        return found->get<T>();
    } catch (const nlohmann::json::exception &) {
        throw error(error_kind::BadRequest, std::string("field '") + key + "' has the wrong type");
    }
}

} // namespace chicoryrouter
