// All error kinds, and the table of their error responses.
// Every error that a caller or operator sees is taken from this table; no code path sets a status or a message of its own.
#pragma once

#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

namespace chicoryrouter {

// To add a kind, add it here and its row, at the same position, in error.cpp; the build fails when a row is missing.
enum class error_kind {
    // Invalid requests
    BadRequest,     // not valid HTTP or JSON, or a field is missing or invalid
    HeaderTooLarge, // headers above the size limit
    BodyTooLarge,   // body above the size limit
    SlowSender,     // headers or body did not arrive before the receive timeout
    UnknownAccount, // the bearer token belongs to no client account
    UnknownRoute,   // no route of the document matches
    UnknownRequest, // re-attach or explain: this daemon has no record of the request
    KeyRequired,    // the route needs an Idempotency-Key
    KeyReused,      // the Idempotency-Key was used before with another body
    // Load
    AccountOverLimit,  // the client account's own limit is reached
    Overloaded,        // the queue for this priority is full
    QueueTimeout,      // waited in the queue for as long as the route allows
    NoEndpoint,        // no endpoint of the service accepts new requests
    ShuttingDown,      // this entry instance accepts no new requests
    PromptQuarantined, // a part of the prompt crashes endpoints
    RequestTooLarge,   // needs more memory than an endpoint of its service has
    // Calls that run at most once
    PlatformUnavailable, // the key-value service could not record the claim on the key, so nothing was sent
    ClaimedElsewhere,    // another call with the same key is in progress
    AnswerNotHeld,       // the key was used before and its response is no longer stored
    // Endpoints
    EndpointRefused,   // the endpoint proved that it did not run the request
    EndpointFailed,    // the endpoint failed after part of the request may have been sent
    EndpointLost,      // the connection broke after part of the request may have been sent; the process or instance may be gone
    EndpointGarbage,   // the endpoint's response is malformed
    AnswerTooLong,     // the endpoint sent more events than the request allows
    DeadlinePassed,    // the route's deadline passed after part of the request may have been sent
    StoppedUnanswered, // this entry instance stops, and the endpoint has not answered yet
    CallerGone,        // the caller disconnected before the response was complete
    // Operators
    NotAuthorized,   // operator token missing or invalid
    InvalidDocument, // the document violates the schema or a cross-check
    StaleRevision,   // the document has changed since the revision that the operator expected
    // Internal errors
    Internal, // a defect in chicoryrouter itself
    Count     // number of kinds
};

// Whether the failed request may have run at an endpoint.
enum class ran_state {
    No,      // certain: no byte reached an endpoint, or the endpoint proved that it did not run the request
    Unknown, // part of the request may have been sent
};

struct error_response
{
    std::string_view name;              // stable name in responses, logs and metrics, e.g. "overloaded"
    int httpStatus = 500;               // HTTP status code of the response
    ran_state ran = ran_state::Unknown; // value of the `ran` field in the response
    bool retryable = false;             // true: the same request may succeed later; field `may_ask_again`
    std::string_view text;              // one sentence for the reader of the error
};

const error_response &responseFor(error_kind kind);                                          // looks the kind up in the table; never fails
std::string_view toText(ran_state ran);                                                      // "no" or "unknown"
std::string errorBody(error_kind kind, std::string_view requestId, std::string_view detail); // JSON body of an error response

// The project's exception type. `detail` says what exactly was wrong; it may be shown to the caller.
class error : public std::exception
{
public:
    explicit error(error_kind kind, std::string detail = {});

    [[nodiscard]] error_kind kind() const { return m_kind; }
    [[nodiscard]] const std::string &detail() const { return m_detail; }
    [[nodiscard]] const char *what() const noexcept override { return m_what.c_str(); }

private:
    error_kind m_kind;
    std::string m_detail;
    std::string m_what;
};

} // namespace chicoryrouter
