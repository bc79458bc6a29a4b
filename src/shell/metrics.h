// Counters and latencies of one daemon, shown at /metrics in the common text format.
#pragma once

#include "chicoryrouter/error.h"
#include "chicoryrouter/time.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace chicoryrouter {

class metrics
{
public:
    metrics();
    ~metrics();

    void countAnswer() { m_answers.fetch_add(1, std::memory_order_relaxed); }
    void countFailure(error_kind kind) { m_failures.at(static_cast<std::size_t>(kind)).fetch_add(1, std::memory_order_relaxed); }
    void countAttempt() { m_attempts.fetch_add(1, std::memory_order_relaxed); }
    void countToken() { m_tokens.fetch_add(1, std::memory_order_relaxed); }
    void countRecomputed(std::uint64_t tokens) { m_recomputed.fetch_add(tokens, std::memory_order_relaxed); }
    void countMoved() { m_moved.fetch_add(1, std::memory_order_relaxed); }
    void observeFirstToken(std::string_view route, duration span); // takes a lock; once a request
    void setGauge(std::string_view name, double value);            // any thread; shown as chicoryrouter_<name>

    [[nodiscard]] std::string text() const;
    [[nodiscard]] std::uint64_t attempts() const { return m_attempts; }
    [[nodiscard]] std::uint64_t recomputed() const { return m_recomputed; }

private:
    struct latencies;

    std::atomic<std::uint64_t> m_answers{0};
    std::atomic<std::uint64_t> m_attempts{0};
    std::atomic<std::uint64_t> m_tokens{0};
    std::atomic<std::uint64_t> m_recomputed{0};
    std::atomic<std::uint64_t> m_moved{0};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(error_kind::Count)> m_failures{};
    std::unique_ptr<latencies> m_latencies;
};

} // namespace chicoryrouter
