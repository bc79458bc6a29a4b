// The completions API as callers speak it: JSON bodies in, JSON bodies and server-sent events out.
#pragma once

#include "chicoryrouter/error.h"
#include "shell/http.h"
#include "shell/request_session.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace chicoryrouter {

std::string dumpJson(const nlohmann::json &value);                   // bytes that are no UTF-8 are replaced
nlohmann::json parseBody(const std::string &body);                   // throws BadRequest unless it is a JSON object
request_payload modelPayload(const nlohmann::json &body, bool chat); // throws BadRequest naming the field
std::uint32_t resumeIndex(const http_request &request);              // the first token that the caller lacks; throws BadRequest
std::string eventPrefix(const request_session &session);               // the same for all events of a request
std::string errorEvent(const std::string &id, error_kind kind);
// The events from `next` on, which moves to their end; with the closing one when the request ended here.
std::string formatEvents(const request_session &session, std::uint32_t &next, const std::string &prefix);
std::string completionBody(const request_session &session, const std::string &text, std::uint32_t tokens);

// A field of a body, or the fallback where it is missing or null; throws BadRequest when it is of another type.
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
