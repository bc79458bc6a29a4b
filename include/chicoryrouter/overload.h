// Decides at admission which requests are refused while a service has too little room, in which order endpoints take those that are sent, and
// when a refused caller should come back.
//
// The load it answers: for seconds at a time callers ask for up to twice what a service's endpoints can do. Sent without a decision, requests
// wait at the endpoints until most are late and some pass their deadline with an endpoint at work on them.
//
// Index
//   wait_sample, sampleWaits() . overload_request . overload_refusal . overload_change, overload_state . overload_control . endpointOrder()
//
// How to use: for each request to a model service while load control is on (load_control.h), pass a fresh sample to decide(); refuse the
// request if it returns a refusal. Call expire() about once a second, and log what takeChanges() returns.
//
// Nothing is refused on what isn't known: not before half of a sample's endpoints have been heard of, and not while the endpoints report that
// they have room. Of every rank, account and route, a tenth of the requests is let through whatever is predicted.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/random.h"
#include "chicoryrouter/routing_table.h"
#include "chicoryrouter/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

// ---- What is known of a service's endpoints -------------------------------------------------------------------------------------------------

// Predicted waits at a few endpoints drawn at random. All waits are those of a prompt without tokens, so they compare between requests.
struct wait_sample
{
    std::uint32_t drawn = 0;          // endpoints drawn; an endpoint may be drawn twice
    std::uint32_t known = 0;          // of those: this daemon or a peer has heard of their load. The other fields are about these
    duration medianWait{};            // zero if none is known
    duration leastWait{};             // the same
    duration ownReading{};            // added by the request's own prompt at the endpoint with the least wait
    std::uint32_t takenPermille = 0;  // mean load that they report, in thousandths of their limits
    [[nodiscard]] bool tells() const; // enough of them are known to refuse a request
};

wait_sample sampleWaits(const service_table &table, std::uint32_t tokensToRead, seeded_random &random);

// ---- Requests and refusals ------------------------------------------------------------------------------------------------------------------

struct overload_request
{
    std::string_view service;
    std::string_view account;
    priority rank = priority::Normal;
    double weight = 1.0; // of the account, above zero
    std::uint32_t promptTokens = 0;
    duration firstTokenTarget{}; // of the route; zero: none, the wait is then limited by the deadline alone
    duration routeDeadline{};    // the time that a caller of the route has in all
    time_point deadline{};       // of this request
};

enum class overload_reason : std::uint8_t {
    Deadline, // it can't get its first token before its deadline
    Rank,     // less urgent than what there is room for
    Count
};

struct overload_refusal
{
    overload_reason reason = overload_reason::Rank;
    duration predicted{};              // the wait that decided
    duration limit{};                  // which it exceeded
    std::uint32_t takenPermille = 0;   // reported by the endpoints
    std::uint32_t refusedPermille = 0; // part of such requests that is refused at the moment
    duration comeBackFrom{};           // when there is room by the estimate; at most a sixth of the request's time left
    duration comeBackSpread{};         // random addition, so that callers don't come back together; with the above at most a third
};

// ---- For operators --------------------------------------------------------------------------------------------------------------------------

inline constexpr std::size_t rankCount = static_cast<std::size_t>(priority::Count);

struct overload_state
{
    std::string service;
    bool overloaded = false;
    std::optional<priority> refusedFrom;                    // requests of this rank and less urgent ones are refused in part; empty: none is
    std::array<duration, rankCount> predicted{};            // wait by rank
    std::array<std::uint32_t, rankCount> refusedPermille{}; // before the accounts' shares
    std::uint32_t takenPermille = 0;
};

enum class overload_step : std::uint8_t {
    Began,
    Changed, // refusedFrom is another; at most one each second for a service
    Ended,
};

struct overload_change
{
    overload_step step = overload_step::Began;
    overload_state state;
};

// ---- The decision ---------------------------------------------------------------------------------------------------------------------------

// Thread-safe: a short lock. All state is of the last seconds and may be lost.
class overload_control
{
public:
    // Whether the request is refused; empty: it is not. Any thread.
    std::optional<overload_refusal> decide(const overload_request &request, const wait_sample &sample, time_point now, seeded_random &random);
    void expire(time_point now);                              // any thread; ends the overload of services whose waits nobody told for a while
    std::vector<overload_change> takeChanges();               // any thread; since the last call
    [[nodiscard]] std::vector<overload_state> states() const; // any thread; of all services asked for lately

private:
    struct decayed
    {
        double amount = 0.0; // as of `at`
        time_point at{};
    };

    struct account_demand
    {
        decayed requests; // also refused ones
        double weight = 1.0;
    };

    // What was asked for lately in one rank.
    struct rank_demand
    {
        duration target{};                                           // least first-token target; zero: none
        duration deadline{};                                         // least deadline
        time_point seenAt{};                                         // the newest request; the epoch: none
        decayed admittedTokens;                                      // of prompts
        std::map<std::string, account_demand, std::less<>> accounts; // at most maxAccounts
    };

    struct service_load
    {
        time_point toldAt{};        // newest sample that tells; the epoch: none
        duration wait{};            // moving average of the samples' medians
        double takenPermille = 0.0; // moving average
        bool overloaded = false;
        time_point turningSince{};          // since when the other state would apply; the epoch: it doesn't
        std::optional<priority> loggedFrom; // refusedFrom as of the last change
        time_point changedAt{};             // of the last change
        std::array<rank_demand, rankCount> ranks;
    };

    static void learn(service_load &load, const wait_sample &sample, time_point now);
    static void countDemand(service_load &load, const overload_request &request, time_point now);
    static void turn(service_load &load, time_point now);
    static bool isPressed(const service_load &load, bool relaxed, time_point now);
    static double shareUpTo(const service_load &load, std::size_t rank, time_point now);
    static double queueShareUpTo(const service_load &load, std::size_t rank, time_point now);
    static duration waitOf(const service_load &load, std::size_t rank, time_point now);
    static bool moreUrgentIsLate(const service_load &load, std::size_t rank, time_point now);
    static duration limitOf(const service_load &load, std::size_t rank, time_point now);
    static double refusedShare(const service_load &load, std::size_t rank, time_point now);
    static double accountRefusedShare(const rank_demand &demand, std::string_view account, double share, time_point now);
    static overload_state stateOf(const std::string &service, const service_load &load, time_point now);
    static double amountAt(const decayed &value, time_point now);
    static void add(decayed &value, double amount, time_point now);
    std::optional<overload_refusal> refusalByDeadline(
        const service_load &load, const overload_request &request, const wait_sample &sample, time_point now, seeded_random &random) const;
    std::optional<overload_refusal> refusalByRank(const service_load &load, const overload_request &request, time_point now, seeded_random &random) const;
    void noteChange(const std::string &service, service_load &load, bool wasOverloaded, time_point now);

    mutable std::mutex m_lock;
    std::map<std::string, service_load, std::less<>> m_services;
    std::vector<overload_change> m_changes;
    time_point m_newest{}; // the latest `now` that was passed
};

// The order in which an endpoint takes waiting requests, 0 (first) to 8: three values for each rank. Within a rank, short prompts go before long
// ones, and a request that has waited for half of its target, but not yet for all of it, goes one step earlier. Never less for a less urgent rank.
std::uint8_t endpointOrder(priority rank, std::uint32_t promptTokens, duration waited, duration firstTokenTarget);

std::string_view toText(overload_reason reason);
std::string_view toText(overload_step step);

} // namespace chicoryrouter
