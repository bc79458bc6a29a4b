// Simulates the rest of the platform: an instance list that may lag, a cloud API that starts and reclaims instances and may refuse a
// start, and a weight store that limits how fast models load. Instances that it starts are simulated endpoints in this process.
#pragma once

#include "standin/endpoint_standin.h"
#include "standin/store_standin.h"

#include <memory>

namespace chicoryrouter {

struct platform_faults
{
    std::atomic<std::int64_t> listLagMillis{0}; // age of the state that the instance list returns
    std::atomic<int> refuseStarts{0};           // number of upcoming start requests to refuse
    std::atomic<int> loseReplies{0};            // number of upcoming start requests that take effect but get no response
    std::atomic<bool> down{false};
};

// An entry instance, that is, an instance that runs a daemon.
struct entry_record
{
    std::string instance;
    std::string failureDomain;
    address peer;
};

class platform_standin
{
public:
    platform_standin(worker_pool &workers, std::uint16_t port = 0);

    platform_faults faults;

    [[nodiscard]] address listenAddress() const;
    engine_standin &addEngine(
        const instance_record &record, engine_options options = {}); // lists the engine at its own address; record.listenAddress is ignored
    plain_standin &addPlain(const instance_record &record);
    void addEntry(const entry_record &entry); // adds an entry instance to the list by which daemons find each other
    void removeEntry(const std::string &instance);
    // Marks the instance as leaving. After the notice period it is no longer listed and, if it is an engine, crashes.
    void reclaim(const std::string &id, duration notice);
    [[nodiscard]] engine_standin *engine(const std::string &id);
    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    struct listed_instance
    {
        instance_record record;
        time_point visibleFrom{};          // listed from this time on
        time_point removedAt = noDeadline; // no longer listed from this time on
        time_point noticedAt = noDeadline; // listed as leaving from this time on
        std::string startToken;            // token of the start request that created it; empty for instances added directly
    };

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> start(http_exchange &exchange);
    std::string listText();
    void add(const instance_record &record, const std::string &token, duration readyAfter);

    worker_pool &m_workers;
    std::mutex m_lock;
    std::vector<listed_instance> m_list;
    std::vector<entry_record> m_entries;
    std::map<std::string, std::unique_ptr<engine_standin>> m_engines;
    std::map<std::string, std::unique_ptr<plain_standin>> m_plain;
    std::atomic<std::size_t> m_starts{0};
    time_point m_weightsFreeAt{}; // when the last queued model load ends; the weight store serves one load at a time
    http_server m_server;
};

} // namespace chicoryrouter
