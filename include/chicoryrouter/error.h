// The closed list of error kinds and the one table from kind to answer.
// Every refusal and failure a caller or operator sees comes from here; no path writes a status or a text of its own.
#pragma once

#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

namespace chicoryrouter {

// What went wrong. Add a kind here and its row in error.cpp; the build fails while one of the two is missing.
enum class error_kind {
    // The caller's request
    BadRequest,     // not HTTP, not JSON, or a field is missing or wrong
    HeaderTooLarge, // headers over the bound
    BodyTooLarge,   // body over the bound
    SlowSender,     // headers or body did not arrive in time
    UnknownAccount, // no client account holds this bearer token
    UnknownRoute,   // no route of the document matches
    UnknownRequest, // re-attach or explain: no such request is held
    KeyRequired,    // the route needs an Idempotency-Key
    KeyReused,      // the same Idempotency-Key came with another body
    // Load
    AccountOverLimit, // the client account's own limit is reached
    Overloaded,       // the queue for this priority is full
    QueueTimeout,     // waited in the queue as long as the contract allows
    NoEndpoint,       // no endpoint of the service may take new work
    ShuttingDown,     // this entry instance takes no new work
    // Calls that run at most once
    PlatformUnavailable, // the claim cannot be made now, so nothing was sent
    ClaimedElsewhere,    // the same key is being served by another call
    AnswerNotHeld,       // the key was used before and its answer is no longer held
    // Endpoints
    EndpointRefused, // the endpoint proved that it did not run the request
    EndpointFailed,  // the endpoint failed after a byte may have left
    EndpointLost,    // the connection broke after a byte may have left: its process or instance is gone, perhaps
    EndpointGarbage, // the endpoint answered something that is no answer
    DeadlinePassed,  // the contract's deadline passed after a byte may have left
    CallerGone,      // the caller left before the answer was whole
    // Operators
    NotAuthorized,   // operator token missing or wrong
    InvalidDocument, // the document breaks the schema or a cross-check
    StaleRevision,   // the document was changed since the expected revision
    // Ourselves
    Internal, // a fault of chicoryrouter itself
    Count     // not a kind: the number of kinds
};

// Whether the request may have run at an endpoint.
enum class ran_state {
    No,      // proved: no byte reached an endpoint, or the endpoint proved that it did not run
    Unknown, // a byte may have left
};

struct error_response
{
    std::string_view name;              // stable name in answers, logs and metrics, e.g. "overloaded"
    int httpStatus = 500;               // status of the answer
    ran_state ran = ran_state::Unknown; // value of the `ran` field
    bool retryable = false;             // true: the same request may succeed later
    std::string_view text;              // one sentence for people
};

const error_response &responseFor(error_kind kind);                                          // the table; never fails
std::string_view toText(ran_state ran);                                                      // "no" or "unknown"
std::string errorBody(error_kind kind, std::string_view requestId, std::string_view detail); // JSON body of an error answer

// The one exception type. `detail` names what exactly was wrong and may be shown to the caller.
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
