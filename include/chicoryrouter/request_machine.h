// State machine of one request, from arrival to the last byte of its answer. Performs no I/O.
//
// Index
//   Inputs: request facts, attempt outcomes . Outputs: actions . request_machine
//
// How to use: construct the machine with the facts of the request and call start(). Carry out the returned actions and report each
// result by the on...() call that is named beside the action. Call onTimer() when nextDeadline() is reached. Every call that returns
// actions returns the next ones to carry out. Calls must not overlap: run all calls of one request on one strand.
//
// Guarantees, in whatever order results are reported:
//   - A non-repeatable request is sent again only if no byte of it can have been sent, or the endpoint proved that it did not run.
//   - An answer that is longer than the request allows ends the request: it is none, so no other endpoint continues it.
//   - Every token is delivered once and in order. Tokens of another request, of an older attempt or with a wrong index are never
//     delivered.
//   - The request ends exactly once, by finish_request, fail_request or onHandedOver(), and every granted slot is released.
//   - fail_request never carries an error kind that is answered with `ran: no` (it did not run) if a byte may have been sent.
//   - A request may be refused until its first attempt is sent. After that it fails only at its deadline, when an endpoint fails and
//     it may not be repeated, when its answer is too long, when its attempts are used up, when its caller disconnects, when the retry budget is exhausted, or
//     when the daemon stops. Must-finish requests wait for the budget instead, and a peer that holds a copy continues them after a stop.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/error.h"
#include "chicoryrouter/prompt_parts.h"
#include "chicoryrouter/router.h"
#include "chicoryrouter/stop_plan.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicoryrouter {

// ---- Inputs ----------------------------------------------------------------------------------------------------------------------------

// Properties of one request, fixed at arrival. The time limits of its contract are stored as absolute deadlines.
struct request_facts
{
    std::string id; // unique in the deployment
    std::string account;
    contract route; // the route's contract at arrival; later configuration documents do not change it
    service_kind kind = service_kind::Model;
    double weight = 1.0;            // of the client account
    std::uint64_t prefix = 0;       // prefixKey() of the prompt; 0: no prefix to reuse
    std::uint32_t prefixTokens = 0; // length of that prefix; 0: unknown
    std::uint32_t promptTokens = 0; // length of the prompt; 0: unknown
    std::uint32_t outputTokens = 0; // the most that the answer may have; 0: unknown
    prompt_parts promptParts{};     // of the prompt; empty: unknown
    time_point arrival{};
    time_point waitUntil = noDeadline;  // deadline of the first send
    time_point deadline = noDeadline;   // deadline of the last byte
    bool needsClaim = false;            // has an Idempotency-Key and its route is not repeatable: a claim (claim.h) is needed before the send
    bool needsCopy = false;             // must finish, and there is a peer daemon that can store a copy
    bool wasAccepted = false;           // accepted by the daemon that handed it over, so it may not be shed
    std::uint32_t alreadyDelivered = 0; // tokens that the previous daemon delivered before the handover
};

request_facts makeFacts(std::string id, std::string account, const contract &route, service_kind kind, time_point arrival);

// How far a failed attempt got.
enum class attempt_progress : std::uint8_t {
    NotSent,      // no byte can have been sent
    ProvedNotRun, // the endpoint gave an answer that proves that the request did not run
    MayHaveRun,   // a byte may have been sent
};

std::string_view toText(attempt_progress progress);

// Result of an attempt, as recorded for its endpoint and version.
enum class attempt_result : std::uint8_t {
    Unused, // the slot was released without sending
    Completed,
    Failed,             // counts against the endpoint and its version
    ConnectionLost,     // the connection broke: the process or its instance is gone, with all its open requests
    Abandoned,          // cancelled by this daemon, or ended by an announced reclaim: says nothing about the health of the endpoint
    Unreachable,        // no connection could be opened: nothing ran, and another try soon would fail too
    Overdue,            // no first token long after its target. The attempt continues, but already counts against the endpoint
    FirstTokenReceived, // the first token arrived; the attempt continues
};

enum class token_result : std::uint8_t {
    Deliver, // pass the token on to the caller
    Drop,    // ignore the token: it is late, duplicated or belongs to another request
    Gap,     // a token is missing: report the attempt as failed with EndpointGarbage
};

enum class move_method : std::uint8_t {
    Resume,     // another endpoint recomputes the prompt and the delivered tokens
    TransferKv, // the KV cache is first exported from the old endpoint and imported by the new one
};

// ---- Outputs ---------------------------------------------------------------------------------------------------------------------------

struct acquire_slot // -> onSlot() or onNoSlot()
{
    route_query query;
    time_point waitUntil = noDeadline;
    bool accepted = false; // already accepted: may wait, may not be shed
};
struct copy_to_peer // -> onCopied()
{
};
struct make_claim // -> onClaimed() or onClaimRefused()
{
};
struct transfer_kv // -> onTransferred()
{
    std::uint32_t fromAttempt = 0;
    endpoint_ptr source;
    endpoint_ptr target;
    time_point deadline = noDeadline; // of the reclaim: data that has not arrived by then is lost
};
struct send_attempt // -> onSent() as soon as a byte may be sent, then onToken(), and onEnd() or onAttemptFailed()
{
    std::uint32_t attempt = 0;
    endpoint_ptr target;
    std::uint32_t resumeFrom = 0; // number of tokens that the caller already has
    bool withTransferredKv = false;
    // Use a connection that has not carried this request: the endpoint may have answered an earlier attempt on one and send that answer once
    // more, late. All attempts bear the request's id, so on such a connection the copy can't be told from the answer to this attempt.
    bool onNewConnection = false;
};
struct cancel_attempt // no result to report
{
    std::uint32_t attempt = 0;
    endpoint_ptr target;
};
struct release_slot // no result to report
{
    endpoint_ptr target;
    attempt_result result = attempt_result::Unused;
    duration firstTokenLatency{}; // observed time to the first token; zero: no token arrived
};
struct report_overdue // no result to report
{
    endpoint_ptr target;
};
struct finish_request
{
    std::uint32_t tokens = 0; // number of tokens in the whole answer
};
struct fail_request
{
    error_kind kind = error_kind::Internal;
};

using request_action = std::
    variant<acquire_slot, copy_to_peer, make_claim, transfer_kv, send_attempt, cancel_attempt, release_slot, report_overdue, finish_request, fail_request>;
using request_actions = std::vector<request_action>;

// ---- State machine ---------------------------------------------------------------------------------------------------------------------

class retry_budget;

class request_machine
{
public:
    request_machine(request_facts facts, retry_budget &budget); // `budget` is shared by the service and must outlive the machine

    request_actions start(time_point now);
    request_actions onSlot(const endpoint_ptr &target, time_point now);
    request_actions onNoSlot(error_kind kind, time_point now);
    request_actions onCopied(time_point now); // also call this if no peer was available
    request_actions onClaimed(time_point now);
    request_actions onClaimRefused(error_kind kind, time_point now);
    request_actions onReplayed(time_point now); // the Idempotency-Key has a stored answer, which is sent instead
    void onSent(std::uint32_t attempt, time_point now);
    void onBackpressureReleased(time_point now); // reading was paused because the caller was slow; restarts the silence timeout
    token_result onToken(std::uint32_t attempt, std::string_view requestId, std::uint32_t index, time_point now);
    [[nodiscard]] duration firstTokenLatency(std::uint32_t attempt) const; // measured from the send; zero: no token arrived yet
    request_actions onEnd(std::uint32_t attempt, std::string_view requestId, std::uint32_t tokens, time_point now);
    request_actions onAttemptFailed(std::uint32_t attempt, attempt_progress progress, error_kind kind, time_point now);
    request_actions onReclaimNotice(std::string_view endpointId, time_point reclaimDeadline, move_method method, time_point now);
    request_actions onTransferred(bool succeeded, time_point now);
    request_actions onCallerGone(time_point now);  // the caller disconnected; a must-finish request continues
    request_actions onQuarantined(time_point now); // a part of the prompt crashes endpoints: ends the request unless its answer has got going
    request_actions onHandedOver(time_point now);  // another daemon took the request over; it ends here without an answer
    request_actions onStopping(const stop_bounds &bounds, time_point now); // the daemon stops: the request ends within these bounds
    request_actions onTimer(time_point now);

    [[nodiscard]] time_point nextDeadline() const;
    [[nodiscard]] bool isOver() const { return m_over; }
    [[nodiscard]] bool isAccepted() const { return m_sends > 0 || m_facts.wasAccepted; }
    [[nodiscard]] bool mayRetry() const;   // another attempt is allowed, so a failed answer need not be passed on to the caller
    [[nodiscard]] bool mayHaveRun() const; // a byte may have been sent, and no endpoint proved that the request did not run
    [[nodiscard]] std::uint32_t delivered() const { return m_delivered; }
    [[nodiscard]] std::uint32_t recomputedTokens() const { return m_recomputed; }
    [[nodiscard]] const request_facts &facts() const { return m_facts; }
    [[nodiscard]] endpoint_ptr currentEndpoint() const; // endpoint of the newest open attempt; null if there is none

private:
    // Why a slot was requested.
    enum class slot_purpose : std::uint8_t {
        None,
        First, // first attempt
        Retry,
        Hedge,
        Move, // continues a stream whose endpoint is being reclaimed
    };

    struct attempt
    {
        std::uint32_t number = 0;
        endpoint_ptr target;
        time_point sentAt{};                     // when the send was requested
        time_point silenceDeadline = noDeadline; // the attempt fails if no token arrives by then
        time_point overdueAt = noDeadline;       // reported as overdue if no token arrives by then; noDeadline after the report
        duration firstTokenLatency{};            // measured from the send; zero until the first token
        bool byteMayHaveBeenSent = false;
        bool draining = false; // its endpoint is being reclaimed; closed as soon as a slot elsewhere is granted
    };

    request_actions requestSlot(slot_purpose purpose, time_point waitUntil);
    request_actions requestOtherSlot(const endpoint_ptr &released, slot_purpose purpose);
    request_actions sendOnHeldSlot(bool withKv, time_point now);
    request_actions send(const endpoint_ptr &target, bool withKv, time_point now);
    request_actions scheduleRetry(time_point now);
    request_actions fail(error_kind kind);
    void releaseAll(request_actions &actions);
    void closeAttempt(std::size_t index, attempt_result result, bool cancelAtEndpoint, request_actions &actions);
    void exclude(const endpoint_ptr &failed);
    attempt *findAttempt(std::uint32_t number);
    [[nodiscard]] const attempt *findAttempt(std::uint32_t number) const;
    [[nodiscard]] bool mayRepeat() const;
    [[nodiscard]] bool attemptsLeft() const;
    [[nodiscard]] bool wasSentTo(const address &destination) const;
    [[nodiscard]] time_point hedgeAt() const;
    [[nodiscard]] time_point stopDeadline() const;
    [[nodiscard]] duration silenceTimeout() const;
    [[nodiscard]] duration overdueTimeout() const;
    [[nodiscard]] error_kind kindToReport(error_kind kind) const;

    request_facts m_facts;
    retry_budget &m_budget;
    std::vector<attempt> m_attempts; // open attempts; at most two: the primary one, and a hedge or the one that a stream moves to
    std::vector<address> m_sentTo;   // address of each attempt sent, in order
    route_query m_query;
    slot_purpose m_pendingPurpose = slot_purpose::None;  // purpose of the one acquire_slot that may be pending; None if none is
    endpoint_ptr m_heldSlot;                             // endpoint of a granted slot that is not yet used; null if there is none
    slot_purpose m_heldSlotPurpose = slot_purpose::None; // purpose of the held slot
    time_point m_retryAt = noDeadline;                   // when to request a slot again; set while a retry is delayed or waits for the budget
    time_point m_reclaimDeadline = noDeadline;           // deadline of the newest reclaim notice
    stop_bounds m_stop;                                  // noDeadline unless the daemon stops
    move_method m_method = move_method::Resume;
    error_kind m_lastFailure = error_kind::Internal;
    std::uint32_t m_sends = 0; // number of attempts sent, which is also the number of the newest one
    std::uint32_t m_retries = 0;
    std::uint32_t m_provedNotRun = 0; // attempts of which no byte was sent, or that provably did not run; <= m_sends
    std::uint32_t m_delivered = 0;    // tokens delivered to the caller; never decreases
    std::uint32_t m_recomputed = 0;
    bool m_closedMayHaveRun = false; // a closed attempt may have run; never reset
    bool m_hedged = false;
    bool m_over = false; // the request has ended; never reset
};

} // namespace chicoryrouter
