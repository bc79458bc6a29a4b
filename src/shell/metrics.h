// Counters, gauges and latency histograms of one daemon, shown at /metrics in the common text format.
#pragma once

#include "chicoryrouter/error.h"
#include "chicoryrouter/time.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace chicoryrouter {

// What is measured as a histogram, by route.
enum class latency : std::uint8_t {
    Wait,       // for a place at an endpoint
    FirstToken, // from arrival to the first piece of the answer
    BetweenPieces,      // between two pieces
    Total,      // from arrival to the whole answer
    EndpointStateAge,  // age of what is known of the endpoints, when one of them is chosen
    Count
};

class metrics
{
public:
    metrics();
    ~metrics();

    // ---- Counters; any thread, no lock
    void countAnswer() { m_answers.fetch_add(1, std::memory_order_relaxed); }
    void countFailure(error_kind kind) { m_failures.at(static_cast<std::size_t>(kind)).fetch_add(1, std::memory_order_relaxed); }
    void countAttempt() { m_attempts.fetch_add(1, std::memory_order_relaxed); }
    void countRetry() { m_retries.fetch_add(1, std::memory_order_relaxed); }
    void countToken() { m_tokens.fetch_add(1, std::memory_order_relaxed); }
    void countRecomputedTokens(std::uint64_t tokens) { m_recomputedTokens.fetch_add(tokens, std::memory_order_relaxed); }
    void countMovedStream() { m_movedStreams.fetch_add(1, std::memory_order_relaxed); }

    // ---- By label; any thread, a short lock
    void countOutcome(std::string_view route, std::string_view outcome); // what became of a request: "answered" or the error's name
    void observe(latency kind, std::string_view route, duration span);
    void setGauge(std::string_view name, double value);                     // shown as chicoryrouter_<name>; labels may stand behind the name
    void setGauges(std::string_view family, std::string_view labelledText); // whole lines of a family whose labels come and go; replaces the last ones

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
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(error_kind::Count)> m_failures{};
    std::unique_ptr<labelled> m_labelled;
};

double residentBytes(); // of this process; 0 where the system does not say

} // namespace chicoryrouter
