// Simulated endpoints: a model engine that streams tokens, and a plain service for stock lookups and orders.
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

// The tokens that every simulated engine generates for a prompt. They depend only on the prompt and the index, so that answers can be
// compared byte by byte, also when a stream moves between engines.
std::string standinToken(std::string_view prompt, std::uint32_t index);
std::string standinAnswer(std::string_view prompt, std::uint32_t tokens);

struct engine_options
{
    std::uint32_t maxConcurrentStreams = 8;                     // further streams are queued
    duration prefillDelay = std::chrono::milliseconds(20);      // delay before the first token if the prompt's prefix is not cached
    duration cachedPrefillDelay = std::chrono::milliseconds(4); // the same if the prefix is cached
    duration betweenTokens = std::chrono::milliseconds(2);
    std::uint32_t tokensPerWrite = 1; // above 1, several tokens go into one write, for load generation
    std::size_t cachedPrefixes = 64;  // cache capacity; the least recently used prefix is evicted
};

// Faults that can be injected while the engine runs. `down` affects every request, ignoresFencing the control orders, the others only
// /generate.
struct engine_faults
{
    std::atomic<bool> down{false};               // closes every connection without a response
    std::atomic<bool> malformedAnswers{false};   // responds with text that is not a token stream
    std::atomic<bool> neverAnswers{false};       // accepts requests and sends no response
    std::atomic<int> closeAfterTokens{-1};       // closes each stream after this many tokens; negative: never
    std::atomic<int> failPercent{0};             // percentage of requests that fail immediately with status 500
    std::atomic<int> slowFactor{1};              // multiplies the prefill and token delays
    std::atomic<bool> refuse{false};             // refuses with 503 and X-Not-Run, which confirms that nothing was run
    std::atomic<bool> ignoresFencing{false};     // also accepts control orders with outdated fencing numbers
    std::atomic<bool> sendsForeignTokens{false}; // inserts tokens of another request into the stream
};

// Simulates a model engine over HTTP: /generate streams tokens, /load reports the load, /kv/export and /kv/import move KV caches, and
// /orders takes fenced control orders (name and value).
class engine_standin
{
public:
    engine_standin(worker_pool &workers, std::string id, engine_options options = {}, std::uint16_t port = 0);

    engine_faults faults;

    [[nodiscard]] address listenAddress() const;
    [[nodiscard]] std::uint64_t generationsStarted() const { return m_started; }  // requests not refused, including those that failed
    [[nodiscard]] std::uint64_t recomputedTokens() const { return m_recomputed; } // for resumed streams whose KV cache was not imported
    void resetCache(); // clears the prefix cache and the completed count and starts a new epoch, as after a restart
    void crash();      // aborts all connections and stays down

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
    std::vector<std::uint64_t> m_prefixes;              // cached prefix keys, most recently used last
    std::set<std::string> m_imported;                   // ids of requests whose KV cache was imported
    std::map<std::string, std::string> m_appliedOrders; // value of each applied control order by name
    std::uint64_t m_fencing = 0;                        // highest fencing number received; lower ones are rejected
    std::atomic<std::uint64_t> m_epoch{1};
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<std::uint64_t> m_completed{0};
    std::atomic<std::uint64_t> m_started{0};
    std::atomic<std::uint64_t> m_recomputed{0};
    std::atomic<std::uint32_t> m_running{0};
    std::atomic<std::uint32_t> m_queued{0};
    http_server m_server;
};

// Faults that can be injected while the service runs. None of them affects /load.
struct plain_faults
{
    std::atomic<bool> down{false};
    std::atomic<bool> refuse{false};          // 503 with X-Not-Run, which confirms that nothing was run
    std::atomic<bool> cutAfterRunning{false}; // runs the request, then closes the connection without a response
    std::atomic<std::int64_t> slowMillis{0};  // delay before each call is run
};

// Simulates a plain service over HTTP: POST counts as an order, any other method as a stock lookup; /load reports the load.
class plain_standin
{
public:
    plain_standin(worker_pool &workers, std::string id, std::uint16_t port = 0);

    plain_faults faults;

    [[nodiscard]] address listenAddress() const;
    [[nodiscard]] std::uint64_t ordersRun() const { return m_orders; }
    [[nodiscard]] std::uint64_t callsReceived() const { return m_calls; }
    [[nodiscard]] int
    maxRunsPerKey(); // most runs of one Idempotency-Key (orders without one count as one key); above 1, the router broke its at-most-once guarantee

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
