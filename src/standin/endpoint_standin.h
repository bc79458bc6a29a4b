// Stand-ins for endpoints: a model engine that streams tokens, and a plain service that keeps stock and takes orders.
#pragma once

#include "chicoryrouter/fleet.h"
#include "shell/http.h"
#include "shell/worker_pool.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace chicoryrouter {

// The text every engine stand-in generates for a prompt, token by token: the same everywhere, so that answers can be compared byte by byte.
std::string standinToken(std::string_view prompt, std::uint32_t index);
std::string standinAnswer(std::string_view prompt, std::uint32_t tokens);

struct engine_options
{
    std::uint32_t maxConcurrentStreams = 8;                               // streams it runs at once; more are queued
    duration prefillDelay = std::chrono::milliseconds(20);      // before the first token of an uncached prompt
    duration cachedPrefillDelay = std::chrono::milliseconds(4); // when the prompt's prefix is cached
    duration betweenTokens = std::chrono::milliseconds(2);
    std::uint32_t tokensPerWrite = 1; // >1: several tokens at once, for load generation
    std::size_t cachedPrefixes = 64;
};

struct engine_faults
{
    std::atomic<bool> down{false};           // closes every connection without an answer
    std::atomic<bool> malformedAnswers{false};        // answers nonsense
    std::atomic<bool> neverAnswers{false};         // accepts and never answers
    std::atomic<int> closeAfterTokens{-1};           // closes each stream after so many tokens; negative: never
    std::atomic<int> failPercent{0};         // of the requests fail at once
    std::atomic<int> slowFactor{1};          // times all delays
    std::atomic<bool> refuse{false};         // refuses with proof that nothing was run
    std::atomic<bool> ignoresFencing{false}; // obeys orders with old fencing numbers too
    std::atomic<bool> sendsForeignTokens{false};        // sends a token of another request between its own
};

class engine_standin
{
public:
    engine_standin(worker_pool &workers, std::string id, engine_options options = {}, std::uint16_t port = 0);

    engine_faults faults;

    [[nodiscard]] address listenAddress() const;
    [[nodiscard]] std::uint64_t generationsStarted() const { return m_started; }       // generations begun
    [[nodiscard]] std::uint64_t recomputedTokens() const { return m_recomputed; } // tokens computed again for resumed streams
    void resetCache();                                                        // forgets its cache and its warmth
    void crash();                                                           // closes everything at once

private:
    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> generate(http_exchange &exchange);
    boost::asio::awaitable<void> exportKv(http_exchange &exchange);
    boost::asio::awaitable<void> handleControlOrder(http_exchange &exchange);
    bool isCached(std::string_view prompt);
    std::string loadText();

    std::string m_id;
    engine_options m_options;
    std::mutex m_lock;
    std::vector<std::uint64_t> m_prefixes;      // newest last
    std::set<std::string> m_imported;           // request ids whose KV cache arrived
    std::map<std::string, std::string> m_appliedOrders; // orders carried out
    std::uint64_t m_fencing = 0;                // highest seen
    std::atomic<std::uint64_t> m_epoch{1};
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<std::uint64_t> m_completed{0};
    std::atomic<std::uint64_t> m_started{0};
    std::atomic<std::uint64_t> m_recomputed{0};
    std::atomic<std::uint32_t> m_running{0};
    std::atomic<std::uint32_t> m_queued{0};
    http_server m_server;
};

struct plain_faults
{
    std::atomic<bool> down{false};
    std::atomic<bool> refuse{false};          // 503 with proof that nothing was run
    std::atomic<bool> cutAfterRunning{false}; // runs the call, then closes without an answer
    std::atomic<std::int64_t> slowMillis{0};
};

class plain_standin
{
public:
    plain_standin(worker_pool &workers, std::string id, std::uint16_t port = 0);

    plain_faults faults;

    [[nodiscard]] address listenAddress() const;
    [[nodiscard]] std::uint64_t ordersRun() const { return m_orders; }
    [[nodiscard]] std::uint64_t callsReceived() const { return m_calls; }
    [[nodiscard]] int maxRunsPerKey(); // over all orders with an Idempotency-Key; never above 1 if the router keeps its word

private:
    boost::asio::awaitable<void> handle(http_exchange &exchange);
    [[nodiscard]] std::string loadText() const;
    [[nodiscard]] std::string answerText(const http_request &request, bool isOrder) const;

    std::string m_id;
    std::mutex m_lock;
    std::map<std::string, int> m_runsByKey;
    std::atomic<std::uint64_t> m_orders{0};
    std::atomic<std::uint64_t> m_calls{0};
    http_server m_server;
};

} // namespace chicoryrouter
