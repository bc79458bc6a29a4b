// request_session: one request inside a daemon. Performs the actions that its request_machine returns, and buffers the answer for the
// callers that read it. Belongs to one request thread; only the functions under "Any thread" may be called from other threads.
#pragma once

#include "chicoryrouter/answer_text.h"
#include "chicoryrouter/bounded_counter.h"
#include "chicoryrouter/byte_pool.h"
#include "chicoryrouter/claim.h"
#include "chicoryrouter/request_machine.h"
#include "shell/endpoint_dialect.h"
#include "shell/log.h"
#include "shell/request_host.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicoryrouter {

inline constexpr std::size_t maxBatchBytes = 64 * 1024; // of an answer that are copied for one write; the last token may exceed it

class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(request_host &host, request_thread &thread, request_facts facts, request_payload payload);

    // Call once, after onCallerGone() if the caller has left already. `deliveredTokens`: received from the previous owner.
    void begin(const std::vector<std::string> &deliveredTokens = {});

    // ---- For readers, on the session's thread
    [[nodiscard]] std::uint32_t readable() const; // number of tokens that may be sent to callers
    [[nodiscard]] std::string_view token(std::uint32_t index) const
    {
        return m_tokens.piece(index);
    } // valid until the next co_await; empty if it was read and forgotten
    [[nodiscard]] bool isOver() const { return m_machine.isOver() && readable() == m_tokens.size(); } // ended, and all tokens are readable
    [[nodiscard]] bool failed() const { return m_failed; }
    [[nodiscard]] error_kind failure() const { return m_failure; }
    [[nodiscard]] int status() const { return m_status; } // HTTP status of the answer; 200 until an endpoint has answered
    [[nodiscard]] const std::string &contentType() const { return m_contentType; }
    [[nodiscard]] const http_headers &answerHeaders() const { return m_answerHeaders; } // of the endpoint that sent the first piece; only if relayed
    [[nodiscard]] bool answeredByEndpoint() const { return m_headRecorded; }            // status() and the headers were received from an endpoint
    [[nodiscard]] std::string text(
        std::uint32_t maxTokens = UINT32_MAX) const;           // the answer's first `maxTokens` tokens, by default all of them; of those that are held
    [[nodiscard]] bool replayed() const { return m_replayed; } // the answer is a stored one, from an earlier call with the same idempotency key
    boost::asio::awaitable<void> waitForChange(); // completes at the next change: more tokens, or the end of the request; may also complete without a change
    void onReaderProgress(std::uint32_t index);   // for back-pressure: the most recent reader has written the tokens before `index`
    void onReaderLeft();                          // nothing is held for a reader any more
    [[nodiscard]] std::string takeText();         // the same as text(); of the last reader of an answer that is over
    boost::asio::awaitable<void> waitForChangeUntil(time_point deadline); // the same, but completes at `deadline` at the latest
    void onCallerGone();
    void markWithoutReaders();               // after a takeover no caller is connected yet, and none may reconnect
    boost::asio::awaitable<bool> handOver(); // to a peer; true: this daemon is done with the request; false: the request continues here
    [[nodiscard]] bool isHandedOver() const { return m_handedOver && m_machine.isOver(); }
    void onCallerReturned();

    [[nodiscard]] const request_facts &facts() const { return m_machine.facts(); }
    [[nodiscard]] const request_payload &payload() const { return m_payload; }
    [[nodiscard]] boost::asio::io_context &context() { return m_thread.context; }
    [[nodiscard]] std::string explain() const { return m_history; } // the events of this request, one per line

    // ---- Any thread
    void postSlotAnswer(const slot_answer &answer);
    void postQuarantined();                       // a part of the prompt has been quarantined
    void postStopping(const stop_bounds &bounds); // the daemon stops
    void postReclaimNotice(const std::string &endpointId, time_point leaveBy, move_method method);
    [[nodiscard]] std::uint64_t currentEndpointKey() const { return m_currentEndpointKey; }
    [[nodiscard]] std::uint32_t recomputeTokens() const; // estimated tokens that another endpoint would have to process again: the prompt and the answer so far
    [[nodiscard]] bool isClosed() const { return m_closed; } // the request has ended; its tokens may not all be readable yet

private:
    struct open_attempt
    {
        open_attempt(endpoint_ptr chosen, std::shared_ptr<byte_pool> pool)
            : target(std::move(chosen))
            , arriving(std::move(pool))
        {
        }

        endpoint_ptr target;
        byte_share arriving;                 // bytes of the answer that are no piece yet: of a plain answer, or of an event that is not whole
        std::shared_ptr<http_stream> stream; // null until the answer's head has been received
        std::shared_ptr<call_handle> handle = std::make_shared<call_handle>(); // cancels the call while `stream` is null
        std::unique_ptr<scoped_count<std::uint32_t>> awaitingFirstPiece;       // counted in endpoint_load::awaitingAnswer until the first piece
        std::unique_ptr<scoped_count<std::uint32_t>> unreadPrompt;             // its tokens are in endpoint_load::ownPromptTokens until the first piece
        duration predictedWait{};                                              // from sending it to the first token; zero: not predicted
        std::uint32_t tokensAhead = 0;                                         // prompt tokens known to wait there when it was sent, without its own
        bool cancelled = false;
    };

    void perform(request_actions actions);
    void perform(const acquire_slot &action);
    void perform(const copy_to_peer &action);
    void perform(const make_claim &action);
    void perform(const transfer_kv &action);
    void perform(const send_attempt &action);
    void perform(const cancel_attempt &action);
    void perform(const release_slot &action);
    void perform(const report_overdue &action);
    void perform(const finish_request &action);
    void perform(const fail_request &action);

    void onSlotAnswer(const slot_answer &answer);
    void recordSending(const std::shared_ptr<open_attempt> &open, std::uint32_t number);
    void reportFirstToken(const open_attempt &open, std::uint32_t number);
    void reportPrompt(const endpoint &target, bool answered);
    void reportShortAnswer(const endpoint &target);
    void reportLeaving(const endpoint_ptr &target);
    void noteRest(const endpoint &target, time_point until);
    [[nodiscard]] attempt_outcome outcomeOf(const endpoint &target, attempt_result result, duration firstToken) const;
    // Describes an attempt that ended without a complete answer: how far it got, and the error.
    struct attempt_fault
    {
        attempt_progress progress = attempt_progress::MayHaveRun;
        error_kind kind = error_kind::EndpointFailed;
        std::string why{}; // for the log; empty if the kind says it all
    };

    boost::asio::awaitable<void> runAttempt(std::shared_ptr<open_attempt> open, send_attempt action);
    boost::asio::awaitable<void> openStream(std::shared_ptr<open_attempt> open, std::uint32_t number, http_call call, bool newConnection);
    boost::asio::awaitable<std::optional<attempt_fault>> runModel(std::shared_ptr<open_attempt> open, send_attempt action);
    boost::asio::awaitable<std::optional<attempt_fault>> runPlain(std::shared_ptr<open_attempt> open, send_attempt action);
    boost::asio::awaitable<std::optional<attempt_fault>> readHead(std::shared_ptr<open_attempt> open);
    boost::asio::awaitable<std::optional<attempt_fault>> readWholeAnswer(std::shared_ptr<open_attempt> open, std::uint32_t number);
    boost::asio::awaitable<void> skipBody(std::shared_ptr<open_attempt> open);
    [[nodiscard]] engine_call callFor(const send_attempt &action) const;
    void recordAnswerHead(const std::shared_ptr<open_attempt> &open);
    boost::asio::awaitable<bool> readEvents(std::shared_ptr<open_attempt> open, std::uint32_t number, engine_call call);
    void renumberPiece(engine_event &piece, std::uint32_t attempt);
    boost::asio::awaitable<void> runTransfer(transfer_kv action);
    boost::asio::awaitable<bool> transferKv(transfer_kv action, std::size_t maxBytes);
    boost::asio::awaitable<void> runClaim();
    boost::asio::awaitable<void> settleClaim();
    boost::asio::awaitable<void> copyLoop(bool first);
    [[nodiscard]] bool readersAreBehind() const;
    [[nodiscard]] bool forgetsReadTokens() const;
    void countHeld();
    void addToken(std::string token);
    boost::asio::awaitable<void> waitForReaders();
    boost::asio::awaitable<void> waitForRoom(std::shared_ptr<open_attempt> open, std::size_t bytes);
    bool acceptToken(std::uint32_t number, engine_event event);
    void attemptFailed(const std::shared_ptr<open_attempt> &open, std::uint32_t number, const attempt_fault &fault);
    void close();
    void notifyReaders();
    void armTimer();
    void recordEvent(log_event event, log_fields fields); // writes to the log and to the text that explain() returns
    void recordPlacement(const slot_answer &answer);

    request_host &m_host;
    request_thread &m_thread;
    request_payload m_payload;
    request_machine m_machine;
    answer_limits m_answerLimits; // of each attempt
    answer_text m_tokens;         // the answer so far; a plain service's answer is one token; what was read is not held where forgetsReadTokens()
    std::map<std::uint32_t, std::shared_ptr<open_attempt>> m_openAttempts;
    boost::asio::steady_timer m_changeSignal;       // readers wait on it; cancelled at each change to wake them
    boost::asio::steady_timer m_backpressureSignal; // attempts wait on it while callers read too slowly; cancelled to wake them
    boost::asio::steady_timer m_timer;              // runs until the request_machine's next deadline
    std::uint64_t m_ticket = 0;                     // ticket of the pending acquire_slot; 0: none pending
    std::unique_ptr<claim_machine> m_claim;         // null unless the request needs a claim
    bool m_claimWon = false;
    std::uint32_t m_attempts = 0;     // number of attempts so far
    time_point m_slotRequestedAt{};   // when a slot was last requested
    duration m_predictedWait{};       // at the endpoint of the last slot; zero: not predicted
    std::uint32_t m_tokensToRead = 0; // of the prompt at that endpoint; 0: not known
    time_point m_newestPieceAt{};     // when the answer's newest piece arrived
    time_point m_firstPieceAt{};      // when the answer's first piece arrived; the epoch: none yet
    std::uint32_t m_copiedTokens = 0; // number of tokens that a peer holds a copy of
    bool m_copying = false;           // copyLoop() is running
    bool m_handedOver = false;        // a peer continues the request, or is being asked to
    bool m_showOnlyCopied = false;    // callers may see only the first m_copiedTokens tokens; set while a peer holds a copy and during a handover
    std::uint32_t m_readUpTo = 0;     // number of tokens that the most recent reader has written
    byte_share m_held;                // what m_tokens holds
    bool m_hasReaders = true;         // a caller is connected; without one there is no back-pressure
    bool m_failed = false;
    bool m_replayed = false;
    error_kind m_failure = error_kind::Internal;
    int m_status = 200;
    std::string m_contentType = "application/json";
    http_headers m_answerHeaders;         // relayed answers: of the endpoint that sent the first piece; later endpoints' pieces follow under the same headers
    bool m_headRecorded = false;          // m_status and the headers were received from an endpoint; fixed once m_tokens is not empty
    std::uint32_t m_firstPieceNumber = 0; // index that the first endpoint gave the stream's first piece
    bool m_firstPieceKnown = false;
    std::optional<stated_load> m_statedLoad; // in the newest answer head
    std::string m_history;                   // text of explain(); gets no further lines once it reaches maxHistoryBytes
    std::atomic<std::uint64_t> m_currentEndpointKey{0};
    std::atomic<std::uint32_t> m_tokenCount{0};
    std::atomic<bool> m_closed{false};
};

} // namespace chicoryrouter
