// The table of error responses, in the order of error_kind.
#include "chicoryrouter/error.h"

#include <nlohmann/json.hpp>

#include <array>

namespace chicoryrouter {

namespace {

constexpr auto no = ran_state::No;
constexpr auto unknown = ran_state::Unknown;

constexpr std::array<error_response, static_cast<std::size_t>(error_kind::Count)> responses = {{
    {"bad_request", 400, no, false, "The request is not valid."},
    {"header_too_large", 431, no, false, "The request headers are too large."},
    {"body_too_large", 413, no, false, "The request body is too large."},
    {"slow_sender", 408, no, true, "The request did not arrive in time."},
    {"unknown_account", 401, no, false, "This token belongs to no client account."},
    {"unknown_route", 404, no, false, "No route matches this request."},
    {"unknown_request", 404, unknown, false, "This entry instance has no record of the request."},
    {"key_required", 400, no, false, "This route needs an Idempotency-Key."},
    {"key_reused", 422, no, false, "This Idempotency-Key was used with another body."},
    {"account_over_limit", 429, no, true, "The client account is at its limit."},
    {"overloaded", 503, no, true, "The queue of the service is full; nothing was sent to an endpoint."},
    {"queue_timeout", 503, no, true, "The request waited in the queue for too long; nothing was sent to an endpoint."},
    {"no_endpoint", 503, no, true, "No endpoint accepts the request now."},
    {"shutting_down", 503, no, true, "This entry instance is shutting down and accepts no new requests."},
    {"prompt_quarantined", 503, no, false, "A part of this prompt crashes endpoints; requests with it are not sent to any endpoint for some minutes."},
    {"request_too_large", 503, no, false, "The request needs more memory than an endpoint has; nothing was sent to an endpoint."},
    {"platform_unavailable", 503, no, true, "The claim on this call cannot be recorded now; nothing was sent to an endpoint."},
    {"claimed_elsewhere", 409, unknown, true, "Another request with the same key is in progress."},
    {"answer_not_held", 409, unknown, false, "The key was used before; its response is no longer stored."},
    {"endpoint_refused", 503, no, true, "The endpoint did not run the request."},
    {"endpoint_failed", 502, unknown, false, "The endpoint failed after the request may have run."},
    {"endpoint_lost", 502, unknown, false, "The connection to the endpoint broke after the request may have run."},
    {"endpoint_garbage", 502, unknown, false, "The endpoint sent an invalid response."},
    {"answer_too_long", 502, unknown, false, "The endpoint sent more than the request allows."},
    {"deadline_passed", 504, unknown, false, "The response was not complete before the deadline."},
    {"stopped_unanswered", 502, unknown, false, "This entry instance stopped before an endpoint answered; the request may have run."},
    {"caller_gone", 499, unknown, true, "The caller disconnected before the response was complete."},
    {"not_authorized", 403, no, false, "The operator token is missing or wrong."},
    {"invalid_document", 422, no, false, "The document is not valid; nothing was changed."},
    {"stale_revision", 409, no, true, "The document has changed since the expected revision; this call changed nothing."},
    {"internal", 500, unknown, false, "Internal error in the router."},
}};

static_assert(!responses.back().name.empty(), "the table needs a row for every error kind");

} // namespace

const error_response &responseFor(error_kind kind)
{
    return responses.at(static_cast<std::size_t>(kind));
}

std::string_view toText(ran_state ran)
{
    return ran == ran_state::No ? "no" : "unknown";
}

std::string errorBody(error_kind kind, std::string_view requestId, std::string_view detail)
{
    const error_response &response = responseFor(kind);
    nlohmann::json body;
    body["error"]["kind"] = response.name;
    body["error"]["message"] = response.text;
    body["error"]["ran"] = toText(response.ran);
    body["error"]["may_ask_again"] = response.retryable;
    if (!detail.empty()) {
        body["error"]["detail"] = detail;
    }
    if (!requestId.empty()) {
        body["error"]["request_id"] = requestId;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

error::error(error_kind kind, std::string detail)
    : m_kind(kind)
    , m_detail(std::move(detail))
    , m_what(std::string(responseFor(kind).name) + (m_detail.empty() ? "" : ": " + m_detail))
{
}

} // namespace chicoryrouter
