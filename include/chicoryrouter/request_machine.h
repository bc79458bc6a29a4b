// The life of one request, from arrival to its last byte, as a state machine without I/O.
//
// Index
//   what it is told (facts) . what it asks for (actions) . the machine
//
// How to use: construct it with the request's facts, call start(), carry out the actions it returns, and report what came of each by
// the on...() call named beside the action. Call onTimer() when nextDeadline() is reached. Every call returns the next actions.
// Calls must not overlap; a shell runs one request's calls on one strand.
//
// What it guarantees, whatever the order of reports:
//   - A request that may not repeat is sent again only if no byte of it can have left, or the endpoint proved that it did not run.
//   - Tokens are delivered once each and in order. Answers of another request, an older attempt or a wrong index are never delivered.
//   - It ends exactly once, by finish_request or fail_request, and gives back every slot it was granted.
//   - fail_request never carries a kind whose row says `ran: no` when a byte may have left.
//   - Before the first send it may be refused; afterwards it is only given up at its deadline, on endpoint failures that may not be
//     repeated, or when the retry budget is spent (must-finish requests wait for the budget instead).
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/error.h"
#include "chicoryrouter/router.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicoryrouter {

// ---- What it is told -------------------------------------------------------------------------------------------------------------------

// Facts of one request, fixed at arrival. Every promise of the contract is a deadline here.
struct request_facts
{
    std::string id; // unique over the deployment
    std::string account;
    contract promised; // the route's contract at arrival; later documents do not change it
    service_kind kind = service_kind::Model;
    double weight = 1.0;      // of the client account
    std::uint64_t prefix = 0; // prefixKey() of the prompt
    time_point arrival{};
    time_point waitUntil = noDeadline;  // latest moment of the first send
    time_point deadline = noDeadline;   // latest moment of the last byte
    bool needsClaim = false;            // came with an Idempotency-Key on a route that may not repeat
    bool needsCopy = false;             // must finish, and there is a peer to copy it to
    bool wasAccepted = false;           // by the daemon it was taken over from: it may not be shed any more
    std::uint32_t alreadyDelivered = 0; // tokens delivered before it was handed over to this daemon
};

request_facts makeFacts(std::string id, std::string account, const contract &promised, service_kind kind, time_point arrival);

// How far an attempt that failed had come.
enum class attempt_progress : std::uint8_t {
    NotSent,      // no byte can have left
    ProvedNotRun, // the endpoint said, in a way that counts as proof, that it did not run
    MayHaveRun,   // a byte may have left
};

std::string_view toText(attempt_progress progress);

// How an attempt ended, as far as its endpoint and its version are concerned.
enum class attempt_result : std::uint8_t {
    Unused, // the slot was given back without sending
    Completed,
    Failed,             // counts against the endpoint and its version
    ConnectionLost,     // the connection broke: its process or instance is gone, with everything that was open there
    Abandoned,          // we turned away, or its end was announced: says nothing
    Unreachable,        // no connection to it came about: nothing ran, and nothing would soon
    Overdue,            // no token for far longer than the target; it goes on, and this counts against the endpoint already now
    FirstTokenReceived, // its first token came, and it goes on
};

enum class token_verdict : std::uint8_t {
    Deliver, // pass it on to the caller
    Drop,    // late, crossed or doubled: ignore it
    Gap,     // a token is missing: report the attempt as failed with EndpointGarbage
};

enum class move_method : std::uint8_t {
    Resume,     // prompt and delivered tokens are computed again elsewhere
    TransferKv, // the KV cache is exported and imported first
};

// ---- What it asks for ------------------------------------------------------------------------------------------------------------------

struct acquire_slot // -> onSlot() or onNoSlot()
{
    route_query query;
    time_point waitUntil = noDeadline;
    bool accepted = false; // was sent before: may wait, may not be shed
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
    time_point deadline = noDeadline; // of the notice: what is not there by then is lost
};
struct send_attempt // -> onSent() as soon as a byte may leave, then onToken(), onEnd(), onAttemptFailed()
{
    std::uint32_t attempt = 0;
    endpoint_ptr target;
    std::uint32_t resumeFrom = 0; // tokens the caller already has
    bool withTransferredKv = false;
};
struct cancel_attempt // nothing is reported back
{
    std::uint32_t attempt = 0;
    endpoint_ptr target;
};
struct release_slot // nothing is reported back
{
    endpoint_ptr target;
    attempt_result result = attempt_result::Unused;
    duration firstTokenLatency{}; // observed time to the first token; zero: none was seen
};
struct report_overdue // nothing is reported back
{
    endpoint_ptr target;
};
struct finish_request
{
    std::uint32_t tokens = 0; // in the whole answer
};
struct fail_request
{
    error_kind kind = error_kind::Internal;
};

using request_action = std::
    variant<acquire_slot, copy_to_peer, make_claim, transfer_kv, send_attempt, cancel_attempt, release_slot, report_overdue, finish_request, fail_request>;
using request_actions = std::vector<request_action>;

// ---- The machine -----------------------------------------------------------------------------------------------------------------------

class retry_budget;

class request_machine
{
public:
    request_machine(request_facts facts, retry_budget &budget); // the budget is the service's and must outlive the machine

    request_actions start(time_point now);
    request_actions onSlot(const endpoint_ptr &target, time_point now);
    request_actions onNoSlot(error_kind kind, time_point now);
    request_actions onCopied(time_point now); // also when there was nobody to copy to
    request_actions onClaimed(time_point now);
    request_actions onClaimRefused(error_kind kind, time_point now);
    request_actions onReplayed(time_point now); // the claim's key was settled before and its answer is at hand
    void onSent(std::uint32_t attempt, time_point now);
    void onBackpressureReleased(time_point now); // reading was paused for a slow caller: the endpoint was not silent
    token_verdict onToken(std::uint32_t attempt, std::string_view requestId, std::uint32_t index, time_point now);
    [[nodiscard]] duration firstTokenLatency(std::uint32_t attempt) const; // from its send; zero: none came yet
    request_actions onEnd(std::uint32_t attempt, std::string_view requestId, std::uint32_t tokens, time_point now);
    request_actions onAttemptFailed(std::uint32_t attempt, attempt_progress progress, error_kind kind, time_point now);
    request_actions onReclaimNotice(std::string_view endpointId, time_point reclaimDeadline, move_method method, time_point now);
    request_actions onTransferred(bool succeeded, time_point now);
    request_actions onCallerGone(time_point now); // a must-finish request goes on
    request_actions onHandedOver(time_point now); // another daemon goes on with it: ends here without an answer
    request_actions onTimer(time_point now);

    [[nodiscard]] time_point nextDeadline() const;
    [[nodiscard]] bool isOver() const { return m_over; }
    [[nodiscard]] bool isAccepted() const { return m_sends > 0 || m_facts.wasAccepted; }
    [[nodiscard]] bool mayRetry() const;   // a failed answer is better not shown: another attempt is allowed
    [[nodiscard]] bool mayHaveRun() const; // a byte may have left and nothing proved that it did not run
    [[nodiscard]] std::uint32_t delivered() const { return m_delivered; }
    [[nodiscard]] std::uint32_t recomputedTokens() const { return m_recomputed; }
    [[nodiscard]] const request_facts &facts() const { return m_facts; }
    [[nodiscard]] endpoint_ptr currentEndpoint() const; // endpoint of the newest attempt; null when there is none

private:
    enum class slot_purpose : std::uint8_t {
        None,
        First,
        Retry,
        Hedge,
        Move,
    };

    struct attempt
    {
        std::uint32_t number = 0;
        endpoint_ptr target;
        time_point sentAt{};                     // when the send was asked for
        time_point silenceDeadline = noDeadline; // no token by then: taken as failed
        time_point overdueAt = noDeadline;       // no token by then: told to the endpoint's record; noDeadline once it was
        duration firstTokenLatency{};            // zero until the first token
        bool byteMayHaveBeenSent = false;
        bool draining = false; // another endpoint takes over as soon as it has a slot
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
    [[nodiscard]] time_point hedgeAt() const;
    [[nodiscard]] duration silenceTimeout() const;
    [[nodiscard]] duration overdueTimeout() const;
    [[nodiscard]] error_kind kindToReport(error_kind kind) const;

    request_facts m_facts;
    retry_budget &m_budget;
    std::vector<attempt> m_attempts; // open ones; at most two: a primary, and a hedge or a mover
    route_query m_query;
    slot_purpose m_pendingPurpose = slot_purpose::None;  // what the pending acquire_slot is for; at most one is pending
    endpoint_ptr m_heldSlot;                             // slot granted, not yet sent; null otherwise
    slot_purpose m_heldSlotPurpose = slot_purpose::None; // what the held slot was asked for
    time_point m_retryAt = noDeadline;                   // when to try again; set while waiting for the budget
    time_point m_reclaimDeadline = noDeadline;           // the newest notice's deadline
    move_method m_method = move_method::Resume;
    error_kind m_lastFailure = error_kind::Internal;
    std::uint32_t m_sends = 0; // attempts sent; also the newest attempt's number
    std::uint32_t m_retries = 0;
    std::uint32_t m_provedNotRun = 0; // attempts of which no byte left, or that the endpoint proved not to have run; <= m_sends
    std::uint32_t m_delivered = 0;    // tokens given to the caller; only grows
    std::uint32_t m_recomputed = 0;
    bool m_closedMayHaveRun = false; // an attempt is over that may have run; only ever goes from false to true
    bool m_hedged = false;
    bool m_over = false; // only ever goes from false to true
};

} // namespace chicoryrouter
