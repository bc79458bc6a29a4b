// Counters, gauges and latency histograms of one daemon, served at /metrics in the Prometheus text format.
#pragma once

#include "chicoryrouter/error.h"
#include "chicoryrouter/time.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace chicoryrouter {

// Durations recorded as a histogram for each route.
enum class latency : std::uint8_t {
    Wait,                // wait for an endpoint slot
    FirstToken,          // from the arrival of the request to the first piece of the answer
    BetweenPieces,       // between two pieces of a streamed answer
    Total,               // from the arrival of the request to the end of the answer
    EndpointStateAge,    // age of the known endpoint state when an endpoint is chosen
    WaitPredictionError, // difference of the time to the first token from the predicted one, only where it was predicted (wait_estimate.h)
    AdmissionWait,       // median of the predicted waits at admission; only while load control is on
    LoadAge,             // age of the load that the other daemons told when an endpoint is chosen; only if some did
    Count
};

class metrics
{
public:
    metrics();
    ~metrics();

    // ---- Counters without labels; any thread, lock-free
    void countAnswer() { m_answers.fetch_add(1, std::memory_order_relaxed); }
    void countFailure(error_kind kind) { m_failures.at(static_cast<std::size_t>(kind)).fetch_add(1, std::memory_order_relaxed); }
    void countAttempt() { m_attempts.fetch_add(1, std::memory_order_relaxed); }
    void countRetry() { m_retries.fetch_add(1, std::memory_order_relaxed); }
    void countToken() { m_tokens.fetch_add(1, std::memory_order_relaxed); }
    void countRecomputedTokens(std::uint64_t tokens) { m_recomputedTokens.fetch_add(tokens, std::memory_order_relaxed); }
    void countMovedStream() { m_movedStreams.fetch_add(1, std::memory_order_relaxed); }
    void countRest() { m_rests.fetch_add(1, std::memory_order_relaxed); }                   // refusals by which an endpoint asks for a rest
    void countLeavingAnswer() { m_leavingAnswers.fetch_add(1, std::memory_order_relaxed); } // once for each endpoint that says that it leaves

    // ---- Metrics with labels; any thread, under a short lock
    void countOutcome(std::string_view route, std::string_view outcome);                          // a request ended: "answered" or the name of its error
    void countOverload(std::string_view service, std::string_view rank, std::string_view reason); // a request was refused under overload
    void observe(latency kind, std::string_view route, duration span);
    void setGauge(std::string_view name, double value);                     // printed as chicoryrouter_<name>; the name may end with labels in braces
    void setGauges(std::string_view family, std::string_view labelledText); // complete lines of a family whose labels vary; replaces its previous lines

    [[nodiscard]] std::string text() const;
    [[nodiscard]] std::uint64_t attempts() const { return m_attempts; }
    [[nodiscard]] std::uint64_t recomputedTokens() const { return m_recomputedTokens; }

private:
    struct labelled;

    std::atomic<std::uint64_t> m_answers{0};
    std::atomic<std::uint64_t> m_attempts{0};
    std::atomic<std::uint64_t> m_retries{0};
    std::atomic<std::uint64_t> m_tokens{0};
    std::atomic<std::uint64_t> m_recomputedTokens{0};
    std::atomic<std::uint64_t> m_movedStreams{0};
    std::atomic<std::uint64_t> m_leavingAnswers{0};
    std::atomic<std::uint64_t> m_rests{0};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(error_kind::Count)> m_failures{};
    std::unique_ptr<labelled> m_labelled;
};

double residentBytes(); // resident memory of this process; 0 where /proc/self/statm is not available

} // namespace chicoryrouter
