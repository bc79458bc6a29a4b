// Plans how many endpoints a service gets, in which failure domains and instance classes, and decides the starts and stops to get there.
//
// Index
//   plan (pure functions) . demand with delayed decreases . placement controller: starts and stops, refusals, records
//
// The plan is the cheapest one that carries the demand, and still carries the demand of prompt-priority routes after any one failure domain
// has lost all its reclaimable instances at once.
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

// ---- Plan ------------------------------------------------------------------------------------------------------------------------------

// Instances of one class that can be started in one failure domain, and their price.
struct placement_offer
{
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    double perHour = 0.0;
};

struct placement_demand
{
    std::uint32_t endpoints = 0;       // needed to run all requests at the latency target
    std::uint32_t promptEndpoints = 0; // needed for prompt-priority routes alone; at most `endpoints`
    std::uint32_t minEndpoints = 0;    // lower and upper bound from the document
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
    std::vector<placement_share> shares; // only shares with a count above zero, in a deterministic order
    double perHour = 0.0;
    bool survivesDomainLoss = true; // false: `maxEndpoints` or the offers do not allow enough to survive the loss of a failure domain
    [[nodiscard]] std::uint32_t total() const;
};

placement_plan planPlacement(const placement_demand &demand, const std::vector<placement_offer> &offers);

// ---- Demand with delayed decreases -----------------------------------------------------------------------------------------------------

// Filters the number of endpoints needed, to prevent flapping: the largest number observed within the last `fallDelay`. It rises at once and
// falls only after the need has been lower for the whole delay.
class demand_meter
{
public:
    explicit demand_meter(duration fallDelay = std::chrono::minutes(10));

    std::uint32_t observe(std::uint32_t endpointsNeeded, time_point now); // returns the number of endpoints to plan for

private:
    struct sample
    {
        time_point expiresAt{};
        std::uint32_t needed = 0;
    };

    duration m_fallDelay;
    std::deque<sample> m_samples; // in decreasing order of `needed`, so the front is the largest
};

std::uint32_t endpointsFor(double openRequests, std::uint32_t concurrency); // with 20 % headroom

// ---- Placement controller --------------------------------------------------------------------------------------------------------------

// The decision to start an instance. The start itself may or may not have been carried out. Kept in the key-value service until the
// instance list shows the instance.
struct start_record
{
    std::string token; // makes the cloud's start call idempotent: the same token never starts a second instance
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
    std::string token; // token of the start that created it; empty: not started by chicoryrouter
    bool leaving = false;
};

struct placement_step
{
    enum class kind : std::uint8_t {
        Record, // store encodeStarts(records()) before anything else -> onRecorded()
        Start,  // request the instance in `start` from the cloud -> onStarted()
        Stop,   // drain and stop the endpoint `stopId`
        None,
    };
    kind action = kind::None;
    start_record start;
    std::string stopId;
    std::string reason;
};

// Decides the next step towards a plan, one at a time. Only the holder of the service's lease uses it.
class placement_controller
{
public:
    explicit placement_controller(std::string service);

    void load(std::vector<start_record> records); // the records in the key-value service at the time when the lease was acquired
    placement_step next(
        const placement_plan &plan, const std::vector<running_endpoint> &running, const std::string &version, std::uint64_t fencing, time_point now);
    void onRecorded(bool stored);
    void onStarted(const std::string &token, bool accepted, bool answered, time_point now); // !answered: the start is retried with the same token

    [[nodiscard]] const std::vector<start_record> &records() const { return m_records; }
    [[nodiscard]] bool isBackingOff(
        const std::string &failureDomain, instance_class cls, time_point now) const; // true: a start was refused recently; don't plan this class here

private:
    struct refusal
    {
        time_point until{};
        std::uint32_t consecutive = 0;
    };

    placement_step startOne(const placement_share &wanted, const std::string &version, std::uint64_t fencing, time_point now);

    std::string m_service;
    std::vector<start_record> m_records;         // decided, not yet in the instance list
    std::map<std::string, time_point> m_retryAt; // earliest retry of a start, by token
    std::map<std::pair<std::string, instance_class>, refusal> m_refusals;
    std::optional<start_record> m_unrecorded; // stored once onRecorded(true) is called
    std::uint64_t m_startCount = 0;
};

} // namespace chicoryrouter
