// Stand-in for the platform's key-value service: compare-and-swap, time-limited values, leases, watches. Its faults are knobs.
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
    std::atomic<bool> down{false};           // answers nothing: connections are closed
    std::atomic<std::int64_t> slowMillis{0}; // added to every answer
    std::atomic<int> loseReplies{0};         // so many writes take effect but their replies are lost
};

class store_standin
{
public:
    explicit store_standin(worker_pool &workers, std::uint16_t port = 0); // 0: any free port

    store_faults faults;

    [[nodiscard]] address listenAddress() const;
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    std::uint64_t put(const std::string &key, std::string value); // straight in, for set-up; returns the version
    [[nodiscard]] std::string value(const std::string &key);      // empty when there is none

private:
    struct entry
    {
        std::string value;
        std::uint64_t version = 0; // never reused for a key, also over its removal
        time_point expiresAt = noDeadline;
    };

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> answerWatch(http_exchange &exchange, std::string key, std::uint64_t after);
    boost::asio::awaitable<void> answerWrite(http_exchange &exchange, std::string key);
    entry *findLive(const std::string &key); // null when there is none; call with the lock held

    std::mutex m_lock;
    std::map<std::string, entry> m_values;
    std::uint64_t m_versions = 0;
    std::atomic<std::uint64_t> m_calls{0};
    http_server m_server; // last: it serves from construction on
};

} // namespace chicoryrouter
