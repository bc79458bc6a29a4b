// A small world under virtual time around the real decision code: fakes of endpoints and of the key-value service, and callers.
// Every fake action is one event in a queue ordered by time; a seed fixes everything else. The world itself checks, in every run and
// without being asked, what must always hold for a request; see faults().
#pragma once

#include "chicoryrouter/claim.h"
#include "chicoryrouter/dispatcher.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/retry_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace chicoryrouter::test {

inline constexpr time_point worldStart{std::chrono::hours(24 * 365 * 50)};

// What a fake endpoint does wrong.
enum class endpoint_fault {
    None,
    Down,        // refuses connections: nothing is sent
    Refusing,    // refuses with proof that it did not run
    Failing,     // runs, then fails
    Silent,      // takes the request and never answers
    Cutting,     // a stream breaks after two more tokens; a plain call breaks after it ran
    Crossed,     // sends tokens of another request and of an older attempt in between
    Doubling,    // sends each token twice
    Gapping,     // leaves out a token
    EndingEarly, // says it is done before the last token
    Slow,        // takes twenty times as long
};

struct fake_endpoint
{
    instance_record facts;
    bool model = true;
    endpoint_fault fault = endpoint_fault::None;
    bool gone = false; // crashed or reclaimed
    duration firstToken = std::chrono::milliseconds(50);
    duration betweenTokens = std::chrono::milliseconds(10);
    std::uint64_t epoch = 1;
    std::uint64_t sequence = 0;
    std::uint64_t completed = 0;
    std::uint32_t running = 0;
    std::uint32_t mostRunning = 0;
    std::uint64_t sends = 0; // attempts that arrived
    time_point noticedAt = noDeadline;
    std::uint64_t sendsAfterNotice = 0; // that arrived later than a few seconds after the notice
};

struct fake_store
{
    bool down = false;
    duration delay = std::chrono::milliseconds(2);
    int loseReplies = 0; // so many writes take effect and their replies are lost
    std::map<std::string, store_reply> values;
    std::uint64_t versions = 0;
};

// A caller's request as the world sees it from outside.
struct world_request
{
    std::string id;
    std::string route;
    std::string key; // Idempotency-Key; empty: none
    std::string body;
    std::uint32_t tokens = 1;
    std::size_t node = 0;
    std::vector<std::uint32_t> seen; // token indexes in the order the caller got them
    int runs = 0;                    // times an endpoint ran it
    int sends = 0;                   // attempts that left
    int ends = 0;
    bool answered = false;
    bool replayed = false;
    error_kind failure = error_kind::Count; // Count: none
    bool accepted = false;
    bool callerGone = false;
};

class world
{
public:
    world(const std::string &documentYaml, std::size_t nodes, std::uint64_t seed);
    ~world();

    // ---- Building and disturbing it, at the present moment
    void addEndpoint(const std::string &id, const std::string &domain, const std::string &service, const std::string &version = "v1");
    void ask(
        const std::string &id, const std::string &route, std::uint32_t tokens, std::size_t node, const std::string &key = "", const std::string &body = "");
    void leaveCaller(const std::string &id);
    void setFault(const std::string &endpoint, endpoint_fault fault);
    void crash(const std::string &endpoint);                   // unannounced
    void notice(const std::string &endpoint, duration within); // announced; gone afterwards
    void noticeDomain(const std::string &domain, duration within);
    void killNode(std::size_t node); // unannounced; peers notice after `deathNoticedAfter`
    void turnCold(const std::string &endpoint);
    void restart(const std::string &endpoint, duration downFor);                        // crashes, and starts anew under its id: what was open there is lost
    void cut(std::size_t node, const std::string &domain, bool forward, duration span); // one way, in silence: sends, or else answers, do not arrive
    fake_store store;

    // ---- Time
    void at(time_point moment, std::function<void()> what);
    void runUntil(time_point moment);
    [[nodiscard]] time_point now() const { return m_now; }

    // ---- Looking at it
    [[nodiscard]] const world_request &request(const std::string &id) const { return m_requests.at(id); }
    [[nodiscard]] const std::map<std::string, world_request> &requests() const { return m_requests; }
    [[nodiscard]] const fake_endpoint &endpoint(const std::string &id) const { return m_endpoints.at(id); }
    [[nodiscard]] const std::vector<std::string> &transcript() const { return m_transcript; }
    [[nodiscard]] std::vector<std::string> faults() const; // broken promises; empty when all held. Call when all is over
    [[nodiscard]] std::uint64_t recomputed() const { return m_recomputed; }

private:
    struct node;
    struct live_request;
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const event &other) const { return when != other.when ? when > other.when : order > other.order; }
    };

    void after(duration delay, std::function<void()> what) { at(m_now + delay, std::move(what)); }
    void say(const std::string &line);
    void startRequest(const std::shared_ptr<live_request> &live);
    void perform(const std::shared_ptr<live_request> &live, request_actions actions);
    void onSlotAnswer(const std::shared_ptr<live_request> &live, const slot_answer &answer);
    void armTimer(const std::shared_ptr<live_request> &live);
    void send(const std::shared_ptr<live_request> &live, const send_attempt &action);
    void arrive(const std::shared_ptr<live_request> &live, const send_attempt &action);
    void nextToken(const std::shared_ptr<live_request> &live, std::uint32_t attempt, const std::string &endpoint, std::uint32_t index, int left);
    void answerPlain(const std::shared_ptr<live_request> &live, std::uint32_t attempt, const std::string &endpoint);
    void failAttempt(const std::shared_ptr<live_request> &live, std::uint32_t attempt, attempt_progress reach, error_kind kind);
    void release(const std::shared_ptr<live_request> &live, const release_slot &action);
    void endAttempt(const std::shared_ptr<live_request> &live, std::uint32_t attempt);
    void deliver(const std::shared_ptr<live_request> &live, std::uint32_t index);
    void claimStep(const std::shared_ptr<live_request> &live, claim_machine::step next);
    void settleClaim(const std::shared_ptr<live_request> &live);
    store_reply storeRead(const std::string &key);
    store_reply storeSwap(const std::string &key, std::uint64_t expected, const std::string &value, bool erase);
    void serve(std::size_t node, const std::string &service);
    [[nodiscard]] bool isCut(const std::shared_ptr<live_request> &live, const fake_endpoint &where, bool forward) const;
    void publishList();
    void publishReports();
    void refresh(std::size_t node);
    void takeOver(std::size_t deadNode);
    [[nodiscard]] bool running(const std::shared_ptr<live_request> &live, std::uint32_t attempt) const;

    std::shared_ptr<const revisioned_document> m_document;
    seeded_random m_random;
    time_point m_now = worldStart;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<std::string, fake_endpoint> m_endpoints;
    std::map<std::string, world_request> m_requests;
    std::map<std::pair<std::size_t, std::string>, bool> m_cuts; // by node and failure domain: true, sends do not arrive; false, answers do not
    std::vector<std::shared_ptr<live_request>> m_live;
    std::vector<std::string> m_transcript;
    std::vector<std::string> m_broken;
    std::map<std::string, int> m_runsByKey; // account key -> runs at plain endpoints
    std::uint64_t m_recomputed = 0;
};

std::string worldDocument(); // a document with routes chat, write-up, stock, orders, notes over services writer and shop

} // namespace chicoryrouter::test
