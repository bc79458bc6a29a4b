// One request inside a daemon: carries out what its request_machine asks for, and holds the answer for the callers that read it.
// Lives on one request thread; functions marked "any thread" may be called from others.
#pragma once

#include "chicoryrouter/bounded_counter.h"
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

class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(request_host &host, request_thread &thread, request_facts facts, request_payload payload);

    void begin(std::vector<std::string> deliveredTokens = {}); // once; `already`: tokens delivered before a handover

    // ---- For readers, on the session's thread
    [[nodiscard]] std::uint32_t readable() const; // tokens that may be given to callers
    [[nodiscard]] const std::string &token(std::uint32_t index) const { return m_tokens[index]; }
    [[nodiscard]] bool isOver() const { return m_machine.isOver() && readable() == m_tokens.size(); }
    [[nodiscard]] bool failed() const { return m_failed; }
    [[nodiscard]] error_kind failure() const { return m_failure; }
    [[nodiscard]] int status() const { return m_status; } // of a plain service's answer
    [[nodiscard]] const std::string &contentType() const { return m_contentType; }
    [[nodiscard]] const http_headers &answerHeaders() const { return m_answerHeaders; } // of the first endpoint that answered; relayed answers only
    [[nodiscard]] bool answeredByEndpoint() const { return m_headRecorded; }               // status and headers are an endpoint's
    [[nodiscard]] std::string text(std::uint32_t maxTokens = UINT32_MAX) const;            // the whole answer
    [[nodiscard]] bool replayed() const { return m_replayed; }                          // the answer is an earlier call's with the same key
    boost::asio::awaitable<void> waitForChange();                                             // until there is more to read or it is over
    void onReaderProgress(std::uint32_t index);                                                 // for back-pressure: the newest reader has written up to here
    boost::asio::awaitable<void> waitForChangeUntil(time_point deadline);                      // the same, but no longer than `deadline`
    void onCallerGone();
    void markWithoutReaders() { m_hasReaders = false; } // taken over: callers come back later, if at all
    boost::asio::awaitable<bool> handOver();            // a peer goes on in our place; false: it stays here
    [[nodiscard]] bool isHandedOver() const { return m_handedOver && m_machine.isOver(); }
    void onCallerReturned() { m_hasReaders = true; }

    [[nodiscard]] const request_facts &facts() const { return m_machine.facts(); }
    [[nodiscard]] const request_payload &payload() const { return m_payload; }
    [[nodiscard]] boost::asio::io_context &context() { return m_thread.context; }
    [[nodiscard]] std::string explain() const { return m_history; } // what was decided, line by line

    // ---- Any thread
    void postSlotAnswer(const slot_answer &answer);
    void postReclaimNotice(const std::string &endpointId, time_point leaveBy, move_method method);
    [[nodiscard]] std::uint64_t currentEndpointKey() const { return m_currentEndpointKey; }
    [[nodiscard]] std::uint32_t recomputeTokens() const; // prompt and delivered tokens, roughly
    [[nodiscard]] bool isClosed() const { return m_closed; }

private:
    struct open_attempt
    {
        endpoint_ptr target;
        std::shared_ptr<http_stream> stream;                                   // null until the answer's head is there
        std::shared_ptr<call_handle> handle = std::make_shared<call_handle>(); // to let go before that
        std::unique_ptr<scoped_count<std::uint32_t>> awaitingFirstPiece;                 // from the send to the first piece of the answer
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
    [[nodiscard]] attempt_outcome outcomeOf(const endpoint &target, attempt_result result, duration firstToken) const;
    // How an attempt ended that was not answered whole.
    struct attempt_fault
    {
        attempt_progress progress = attempt_progress::MayHaveRun;
        error_kind kind = error_kind::EndpointFailed;
    };

    boost::asio::awaitable<void> runAttempt(std::shared_ptr<open_attempt> open, send_attempt action);
    boost::asio::awaitable<void> openStream(std::shared_ptr<open_attempt> open, std::uint32_t number, http_call call, bool newConnection);
    boost::asio::awaitable<std::optional<attempt_fault>> runModel(std::shared_ptr<open_attempt> open, send_attempt action);
    boost::asio::awaitable<std::optional<attempt_fault>> runPlain(std::shared_ptr<open_attempt> open, send_attempt action);
    boost::asio::awaitable<std::optional<attempt_fault>> readHead(std::shared_ptr<open_attempt> open);
    boost::asio::awaitable<std::optional<attempt_fault>> readWholeAnswer(std::shared_ptr<open_attempt> open, std::uint32_t number);
    static boost::asio::awaitable<void> skipBody(std::shared_ptr<open_attempt> open);
    [[nodiscard]] engine_call callFor(const send_attempt &action) const;
    void recordAnswerHead(const std::shared_ptr<open_attempt> &open);
    boost::asio::awaitable<bool> readEvents(std::shared_ptr<open_attempt> open, std::uint32_t number, engine_call call);
    void renumberPiece(engine_event &piece, std::uint32_t attempt);
    boost::asio::awaitable<void> runTransfer(transfer_kv action);
    boost::asio::awaitable<void> runClaim();
    boost::asio::awaitable<void> settleClaim();
    boost::asio::awaitable<void> copyLoop(bool first);
    boost::asio::awaitable<void> waitForReaders();
    bool acceptToken(std::uint32_t number, engine_event event);
    void attemptFailed(const std::shared_ptr<open_attempt> &open, std::uint32_t number, attempt_progress progress, error_kind kind);
    void close();
    void notifyReaders();
    void armTimer();
    void recordEvent(log_event event, log_fields fields); // into the log, and into what explain() tells
    void recordPlacement(const slot_answer &answer);

    request_host &m_host;
    request_thread &m_thread;
    request_payload m_payload;
    request_machine m_machine;
    std::vector<std::string> m_tokens; // the answer so far; a plain answer is one token
    std::map<std::uint32_t, std::shared_ptr<open_attempt>> m_openAttempts;
    boost::asio::steady_timer m_changeSignal;       // readers wait on it; cancelled whenever something changed
    boost::asio::steady_timer m_backpressureSignal;       // attempts wait on it while callers are slow
    boost::asio::steady_timer m_timer;      // the machine's next deadline
    std::uint64_t m_ticket = 0;             // of the pending acquire_slot; 0: none
    std::unique_ptr<claim_machine> m_claim; // null unless the request needed one
    bool m_claimWon = false;
    std::uint32_t m_attempts = 0; // sent so far
    time_point m_slotRequestedAt{};       // when a place was last asked for
    time_point m_newestPieceAt{}; // of the answer
    time_point m_firstPieceAt{};  // of the answer; the epoch: none yet
    std::uint32_t m_copiedTokens = 0;   // tokens a peer holds
    bool m_copying = false;       // copyLoop() runs
    bool m_handedOver = false;    // a peer goes on with it, or is being asked to
    bool m_showOnlyCopied = false;     // a peer holds this request; callers see only copied tokens
    std::uint32_t m_readUpTo = 0; // what the newest reader has written
    bool m_hasReaders = true;        // somebody reads; without readers there is no back-pressure
    bool m_failed = false;
    bool m_replayed = false;
    error_kind m_failure = error_kind::Internal;
    int m_status = 200;
    std::string m_contentType = "application/json";
    http_headers m_answerHeaders;   // relayed answers: the first endpoint's, which all later pieces come under
    bool m_headRecorded = false;       // m_status and the headers are an endpoint's
    std::uint32_t m_firstPieceNumber = 0; // number of the stream's first piece, as its first endpoint numbered it
    bool m_firstPieceKnown = false;
    std::optional<std::uint32_t> m_endpointOpenRequests; // requests the newest answering endpoint said it holds
    std::string m_history;                    // bounded by maxHistoryBytes
    std::atomic<std::uint64_t> m_currentEndpointKey{0};
    std::atomic<std::uint32_t> m_tokenCount{0};
    std::atomic<bool> m_closed{false};
};

} // namespace chicoryrouter
