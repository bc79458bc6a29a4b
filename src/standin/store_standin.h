// Simulates the platform's key-value service: compare-and-swap, values with a time to live, leases and watches. Faults can be injected.
#pragma once

#include "shell/http.h"
#include "shell/worker_pool.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chicoryrouter {

struct store_faults
{
    std::atomic<bool> down{false};           // closes every connection without a response
    std::atomic<std::int64_t> slowMillis{0}; // delay added to every response
    std::atomic<int> loseReplies{0};         // number of upcoming writes that take effect but get no response
};

class store_standin
{
public:
    explicit store_standin(worker_pool &workers, std::uint16_t port = 0); // 0: any free port

    store_faults faults;

    [[nodiscard]] address listenAddress() const;
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    std::uint64_t put(const std::string &key, std::string value); // unconditional write for set-up, bypassing HTTP; returns the new version
    [[nodiscard]] std::string value(const std::string &key);      // empty if the key does not exist

private:
    struct entry
    {
        std::string value;
        std::uint64_t version = 0; // never reused for a key, even after the key was removed
        time_point expiresAt = noDeadline;
    };

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> answerWatch(http_exchange &exchange, std::string key, std::uint64_t after);
    boost::asio::awaitable<void> answerWrite(http_exchange &exchange, std::string key);
    entry *findLive(const std::string &key); // null if the key is missing or expired; removes an expired entry; call with m_lock held

    std::mutex m_lock;
    std::map<std::string, entry> m_values;
    std::uint64_t m_versions = 0;
    std::atomic<std::uint64_t> m_calls{0};
    http_server m_server; // must be the last member, because it serves requests as soon as it is constructed
};

} // namespace chicoryrouter
