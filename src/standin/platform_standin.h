// Stand-in for the rest of the platform: the instance list with its lag, the cloud API with notices and refusals, and the rate-limited
// weight store. The instances it "starts" are stand-in endpoints in this process.
#pragma once

#include "standin/endpoint_standin.h"
#include "standin/store_standin.h"

#include <memory>

namespace chicoryrouter {

struct platform_faults
{
    std::atomic<std::int64_t> listLagMillis{0}; // the instance list shows the past
    std::atomic<int> refuseStarts{0};           // so many starts are refused
    std::atomic<int> loseReplies{0};            // so many starts take effect but their replies are lost
    std::atomic<bool> down{false};
};

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
    engine_standin &addEngine(const instance_record &facts, engine_options options = {}); // `where` is filled in
    plain_standin &addPlain(const instance_record &facts);
    void addEntry(const entry_record &entry); // an entry instance, for the daemons' own list
    void removeEntry(const std::string &instance);
    void reclaim(const std::string &id, duration notice); // announces, then crashes it when the notice is over
    [[nodiscard]] engine_standin *engine(const std::string &id);
    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    struct listed_instance
    {
        instance_record facts;
        time_point visibleFrom{};                 // shown from then on
        time_point removedAt = noDeadline;     // gone from then on
        time_point noticedAt = noDeadline; // leaving from then on
        std::string startToken;                 // of the start that made it
    };

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> start(http_exchange &exchange);
    std::string listText();
    void add(const instance_record &facts, const std::string &token, duration readyAfter);

    worker_pool &m_workers;
    std::mutex m_lock;
    std::vector<listed_instance> m_list;
    std::vector<entry_record> m_entries;
    std::map<std::string, std::unique_ptr<engine_standin>> m_engines;
    std::map<std::string, std::unique_ptr<plain_standin>> m_plain;
    std::atomic<std::size_t> m_starts{0};
    time_point m_weightsFreeAt{}; // the weight store serves one load after the other
    http_server m_server;
};

} // namespace chicoryrouter
