// How many endpoints a service gets, of which class and in which failure domain, and the orders that lead there.
//
// Index
//   the plan (pure) . demand without flapping . the placer: starts and stops, refusals, records
//
// The plan is the cheapest one that bears the demand, and still bears the prompt demand after any one failure domain has lost all its
// reclaimable instances at once.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

// ---- The plan --------------------------------------------------------------------------------------------------------------------------

struct placement_offer
{
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    double perHour = 0.0;
};

struct placement_demand
{
    std::uint32_t endpoints = 0;       // needed for all work at the latency target
    std::uint32_t promptEndpoints = 0; // needed for prompt routes alone; at most `endpoints`
    std::uint32_t minEndpoints = 0;    // the document's bounds
    std::uint32_t maxEndpoints = 0;
};

struct placement_share
{
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::uint32_t count = 0;

    bool operator==(const placement_share &) const = default;
};

struct placement_plan
{
    std::vector<placement_share> shares; // only counts above zero, in a fixed order
    double perHour = 0.0;
    bool survivesDomainLoss = true; // false: `most` does not allow enough for the loss of a failure domain
    [[nodiscard]] std::uint32_t total() const;
};

placement_plan planPlacement(const placement_demand &demand, const std::vector<placement_offer> &offers);

// ---- Demand without flapping -----------------------------------------------------------------------------------------------------------

// Turns observed open requests into endpoints. Rises at once, falls only when the need has been lower for `fallAfter`.
class demand_meter
{
public:
    explicit demand_meter(duration fallDelay = std::chrono::minutes(10));

    std::uint32_t observe(std::uint32_t endpointsNeeded, time_point now); // returns the need to plan for

private:
    struct sample
    {
        time_point expiresAt{};
        std::uint32_t needed = 0;
    };

    duration m_fallDelay;
    std::deque<sample> m_samples; // falling `needed`, so the front is the largest
};

std::uint32_t endpointsFor(double openRequests, std::uint32_t concurrency); // with a fifth of headroom

// ---- The placer ------------------------------------------------------------------------------------------------------------------------

// A start that was decided and may or may not have been carried out. Kept in the key-value service until its instance is listed.
struct start_record
{
    std::string token; // makes the cloud's start idempotent: the same token never buys twice
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::string version;
    time_point decidedAt{};
};

std::string startsKey(std::string_view service);
std::string encodeStarts(const std::vector<start_record> &records);
std::optional<std::vector<start_record>> decodeStarts(std::string_view text);

struct running_endpoint
{
    std::string id;
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::string version;
    std::string token; // of the start that made it; empty: somebody else's
    bool leaving = false;
};

struct placement_step
{
    enum class kind : std::uint8_t {
        Record, // write encodeStarts(records()) before anything else -> onRecorded()
        Start,  // ask the cloud with `start` -> onStarted()
        Stop,   // drain and stop `stopId`
        None,
    };
    kind action = kind::None;
    start_record start;
    std::string stopId;
    std::string reason;
};

// Decides the next step towards a plan, one at a time. Used by the lease's holder only.
class placement_controller
{
public:
    explicit placement_controller(std::string service);

    void load(std::vector<start_record> records); // as read from the key-value service when the lease was taken
    placement_step next(
        const placement_plan &plan, const std::vector<running_endpoint> &running, const std::string &version, std::uint64_t fencing, time_point now);
    void onRecorded(bool stored);
    void onStarted(const std::string &token, bool accepted, bool answered, time_point now); // not answered: the same token is asked for again

    [[nodiscard]] const std::vector<start_record> &records() const { return m_records; }
    [[nodiscard]] bool isBackingOff(const std::string &failureDomain, instance_class cls, time_point now) const; // refused lately: plan without it

private:
    struct refusal
    {
        time_point until{};
        std::uint32_t consecutive = 0;
    };

    placement_step startOne(const placement_share &wanted, const std::string &version, std::uint64_t fencing, time_point now);

    std::string m_service;
    std::vector<start_record> m_records;         // decided, not yet listed
    std::map<std::string, time_point> m_retryAt; // by token
    std::map<std::pair<std::string, instance_class>, refusal> m_refusals;
    std::optional<start_record> m_unrecorded; // waits for onRecorded()
    std::uint64_t m_startCount = 0;
};

} // namespace chicoryrouter
