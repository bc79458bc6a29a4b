// The users' platform, small and in process: its store with watches, conditions and leases, its endpoints, its calls of duty.
// Faults are knobs. What it saw is kept, so that tests judge by what callers and endpoints see.
#pragma once

#include "chicoryrouter/settings.h"
#include "shell/http.h"
#include "shell/worker_pool.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace chicoryrouter {

// Requests are answered on the workers' threads out of what a stand-in holds: whoever ends it stops the workers first.
class hosted_stand_in
{
protected:
    explicit hosted_stand_in(const worker_pool &workers);
    ~hosted_stand_in();

private:
    const worker_pool &m_workers;
};

// ---- The store -------------------------------------------------------------------------------------------------------------------------

struct hosted_store_faults
{
    std::atomic<bool> down{false};           // answers nothing
    std::atomic<bool> silent{false};         // takes calls and never answers them, also when it is over
    std::atomic<bool> refusing{false};       // 503 to everything
    std::atomic<bool> refusingWrites{false}; // 503 to the system's transactions; nothing is changed
    std::atomic<int> loseReplies{0};         // so many changes take effect and their answers are lost
    std::atomic<bool> forgetful{false};      // watches are told that their history is gone, once each
    std::atomic<bool> eraless{false};        // answers state no era, as stores did that never came back from a copy
    std::atomic<int> bytesPerSecond{0};      // of every answer to a list or watch, over a thin link; 0: at once
};

class hosted_store : hosted_stand_in
{
public:
    explicit hosted_store(worker_pool &workers);

    hosted_store_faults faults;
    std::function<void(const std::string &lastKey)> onPage; // a page of a list was read and is about to be answered; set before anybody asks

    [[nodiscard]] address where() const { return {"127.0.0.1", m_server.port()}; }
    void put(const std::string &key, const std::string &value); // as operators and endpoints do
    void remove(const std::string &key);
    [[nodiscard]] std::string value(const std::string &key); // decoded; empty when there is none
    [[nodiscard]] std::vector<std::string> keys(const std::string &prefix);
    void lapseLeases(); // all leases run out at once
    void takeCopy();    // items, history and both counters as they are now
    // The store is the last copy from now on and its era rises. Acknowledged changes since are gone, and so are waiting watches; revisions and
    // lease numbers are given out again. No lease is left, nor any item under one.
    void comeBackFromCopy();
    void comeBackFromCopyWithLeases(); // the same, but leases that the copy knows live on for another term, with the items under them
    [[nodiscard]] std::uint64_t era();
    [[nodiscard]] std::uint64_t revision();                         // of the newest change
    [[nodiscard]] std::uint64_t revisionOf(const std::string &key); // 0: there is no such item
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::size_t watching() const { return m_watching; } // watches that wait for changes now

private:
    struct item
    {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
        std::uint64_t lease = 0;
    };
    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
        item now;
    };
    struct lease
    {
        time_point until{};
        duration term{};
    };

    struct content
    {
        std::map<std::string, item> items;
        std::vector<change> changes;
        std::map<std::uint64_t, lease> leases;
        std::uint64_t revision = 1;
        std::uint64_t nextLease = 1000;
    };

    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> answerItems(http_exchange &exchange, int status, nlohmann::json answer, http_headers extra) const;
    boost::asio::awaitable<void> answerWatch(http_exchange &exchange);
    boost::asio::awaitable<void> answerChange(http_exchange &exchange);
    nlohmann::json itemJson(const std::string &key, const item &held) const;
    void write(const std::string &key, std::string encoded, std::uint64_t lease); // the five below with the lock held
    void erase(const std::string &key);
    void endLapsed();
    void becomeCopy();
    [[nodiscard]] http_headers eraHeader() const;

    std::mutex m_lock;
    content m_now;
    content m_copy;
    std::uint64_t m_era = 1;
    std::set<std::uint64_t> m_forgotten; // revisions at which a watch was already told to list again
    std::atomic<std::uint64_t> m_calls{0};
    std::atomic<std::size_t> m_watching{0};
    http_server m_server; // last: it serves from construction on
};

// ---- Endpoints -------------------------------------------------------------------------------------------------------------------------

struct hosted_endpoint_faults
{
    std::atomic<int> refuseNext{0};           // so many requests are refused with the proof that they did not run
    std::atomic<int> failNext{0};             // answered 500 after running
    std::atomic<int> cutNext{0};              // cut inside a stream's event `cutAtEvent`, plain answers before they begin
    std::atomic<std::uint32_t> cutAtEvent{3}; // 0: after the answer's head
    std::atomic<int> repeatStatus{0};         // a request that has run here before is answered with this status and the text "failed"; 0: as any other
    std::atomic<int> foreignNext{0};          // answered under another request's id
    std::atomic<int> silentNext{0};           // run and never answered
    std::atomic<bool> otherInstance{false};   // its address has another endpoint now
    std::atomic<std::int64_t> workMillis{0};  // before the answer, and between two events
    std::atomic<bool> saysLeaving{false};     // all answers say that the endpoint leaves; the store is not told
    std::atomic<int> restSeconds{0};          // every request is refused, and the answer asks for so long a rest; 0: none
    std::atomic<int> downMillis{300};         // after a crash
    std::atomic<bool> crashesOnPart{false};   // as it begins to answer a prompt with hostedDeadlyPart it loses all its connections and is gone for a while
};

class hosted_endpoint : hosted_stand_in
{
public:
    hosted_endpoint(worker_pool &workers, std::string id);

    hosted_endpoint_faults faults;

    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] address where() const { return {"127.0.0.1", m_server.port()}; }
    [[nodiscard]] std::map<std::string, int> runs();          // by request id
    [[nodiscard]] std::vector<http_request> seen();           // requests as they arrived, refused ones too
    [[nodiscard]] std::vector<time_point> crashes();          // on hostedDeadlyPart
    [[nodiscard]] bool isDown();                              // after a crash
    [[nodiscard]] std::size_t open() const { return m_open; } // requests that it works on, also such whose caller has gone
    [[nodiscard]] std::string entry(const std::string &service, const std::string &domain, const std::string &state = "ready") const;
    void startAgain(); // under its id, as another incarnation; what it has seen and run stays known to tests

private:
    boost::asio::awaitable<void> handle(http_exchange &exchange);
    boost::asio::awaitable<void> stream(http_exchange &exchange, bool cut);
    void crash();

    std::string m_id;
    std::atomic<std::int64_t> m_born; // Unix milliseconds of its start; another one for each incarnation
    std::mutex m_lock;
    std::map<std::string, int> m_runs;
    std::vector<http_request> m_seen;
    std::vector<time_point> m_crashes;
    std::atomic<std::size_t> m_open{0};
    http_server m_server; // last
};

inline constexpr std::string_view hostedDeadlyPart = "dead1e55"; // a part of a prompt, see hosted_endpoint_faults::crashesOnPart
inline constexpr std::uint32_t hostedEvents = 6;                 // of every stream
std::string hostedEvent(std::uint32_t number);

// ---- Duties ----------------------------------------------------------------------------------------------------------------------------

struct duty_call
{
    std::string path;
    std::string holder;
    std::uint64_t fencing = 0;
    nlohmann::json body;
    time_point at{}; // of its arrival
};

class hosted_cloud : hosted_stand_in
{
public:
    explicit hosted_cloud(worker_pool &workers);

    std::atomic<int> status{200};
    [[nodiscard]] address where() const { return {"127.0.0.1", m_server.port()}; }
    [[nodiscard]] std::vector<duty_call> calls();

private:
    std::mutex m_lock;
    std::vector<duty_call> m_calls;
    http_server m_server; // last
};

// ---- A deployment ----------------------------------------------------------------------------------------------------------------------

settings hostedSettings(const std::string &name, const std::string &domain, const hosted_store &store, const hosted_cloud *cloud);
nlohmann::json hostedConfiguration(); // one model service "writer", one plain service "shop", three routes, one account with key "key-1"

} // namespace chicoryrouter
