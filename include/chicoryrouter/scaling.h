// Autoscaling for platforms that keep a requested number of endpoints running by themselves. Turns the observed load of a service into
// orders: a number of endpoints per failure domain and instance class.
//
// Index
//   load . orders . options . planner
//
// It is designed for daily cycles and bursts of load with boot times of seconds, for reclaims that take all reclaimable endpoints of a
// failure domain at once, after which new ones are unavailable for a while, and for prices that differ by failure domain and class.
// No I/O. Used only by the leader, the one daemon that sends orders to the platform.
#pragma once

#include "chicoryrouter/demand_forecast.h"
#include "chicoryrouter/placement.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryrouter {

// ---- Load ------------------------------------------------------------------------------------------------------------------------------

// Open requests of a service over all daemons, averaged over the last one or two seconds.
struct service_load
{
    double open = 0.0;               // sent to its endpoints and not finished
    double awaitingFirstToken = 0.0; // those of `open` without a response yet: their prompts wait or are being processed
};

// Number of endpoints that carry the load at the target utilisation. `endpoints` is the number that run now, `slots` the requests that one
// of them runs at once. Requests that await their first token form a queue whose length at utilisation u is u / (1 - u), so its length tells
// which part of the running endpoints' time is spent on prompts.
std::uint32_t endpointsFor(const service_load &load, std::uint32_t endpoints, std::uint32_t slots);

// ---- Orders ----------------------------------------------------------------------------------------------------------------------------

struct scale_order
{
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::uint32_t count = 0; // endpoints to keep running; leaving ones are not counted

    bool operator==(const scale_order &) const = default;
};

enum class order_result : std::uint8_t {
    Accepted,
    NoCapacity, // none of this class is available in this failure domain now
    Unanswered, // unknown whether the order took effect: it is repeated
};

struct scale_bounds
{
    std::uint32_t minPerDomain = 0; // both classes together
    std::uint32_t maxPerDomain = 0;
    std::uint32_t slots = 1; // requests that one endpoint runs at once
};

// ---- Options ---------------------------------------------------------------------------------------------------------------------------

struct scale_options
{
    bool loadControl = false; // true: forecasts demand (demand_forecast.h), reduces step by step, sizes failure domains by the demand before them
};

using demand_shares = std::map<std::string, double>; // failure domain -> its part of the open requests, by where their callers are; empty: even

// ---- Planner ---------------------------------------------------------------------------------------------------------------------------

class scale_planner
{
public:
    void configure(const scale_options &options) { m_options = options; } // may change at any time

    void observe(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, time_point now); // to be called about once a second

    // Orders to give now: those whose count differs from the last order or from the endpoints that run. Empty for the first two seconds and
    // while the list of endpoints still comes in: an order states a total, so one that is based on a part of the list would stop the others.
    // Until the load has been observed for long enough, the number found at the start is kept, but cheaper endpoints may replace expensive
    // ones: before callers connect, that costs no cached prompt and interrupts no stream.
    std::vector<scale_order> next(const scale_bounds &bounds,
        const std::vector<placement_offer> &offers,
        const std::vector<running_endpoint> &running,
        time_point now,
        const demand_shares &shares = {});
    void onAnswer(const scale_order &order, order_result answer, time_point now);

    [[nodiscard]] std::uint32_t desiredEndpoints() const { return m_desiredEndpoints; } // number of endpoints that the load calls for, by the last observe()
    [[nodiscard]] duration bootTime() const { return m_bootTime; }                      // from an order until the first of its endpoints runs
    [[nodiscard]] std::uint32_t foundEndpoints() const { return m_foundEndpoints; }     // endpoints that ran before any load; 0: not known

private:
    using capacity_pool = std::pair<std::string, instance_class>;

    struct last_order
    {
        std::uint32_t count = 0;
        time_point repeatAt{}; // from then on the order is repeated if the running count still differs
    };

    struct started_order
    {
        std::uint32_t present = 0; // endpoints that ran when more were ordered
        time_point at{};
    };

    [[nodiscard]] std::map<capacity_pool, std::uint32_t> plan(const scale_bounds &bounds, const std::vector<placement_offer> &offers) const;
    [[nodiscard]] std::uint32_t measure(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, time_point now);
    [[nodiscard]] std::uint32_t slowed(std::uint32_t surplus, std::uint32_t present, bool complete, time_point now);
    void learnBootTime(const std::map<capacity_pool, std::uint32_t> &present, time_point now);
    void observeShares(const demand_shares &shares, time_point now);
    void weigh(std::vector<placement_share> &planned, std::uint32_t remaining) const;
    void substituteOnDemand(std::map<capacity_pool, std::uint32_t> &counts,
        const std::map<capacity_pool, std::uint32_t> &present,
        std::uint32_t maxPerDomain,
        time_point now) const;

    void observeList(std::uint32_t endpoints, time_point now);
    void addLateEndpoints(const std::map<capacity_pool, std::uint32_t> &present);
    [[nodiscard]] bool loadSeen() const { return m_observedSince != noDeadline; }
    [[nodiscard]] bool listSettles(time_point now) const;
    [[nodiscard]] bool mayReduce(time_point now) const; // whether the load has been observed for long enough to run fewer endpoints than found

    demand_meter m_demand{std::chrono::seconds(8)};
    time_point m_startedAt = noDeadline;                      // when endpoints were first observed
    time_point m_grewAt = noDeadline;                         // when their number last rose above m_mostEndpoints
    time_point m_observedSince = noDeadline;                  // when load was first observed
    std::uint32_t m_mostEndpoints = 0;                        // highest number observed until m_listSettled
    demand_meter m_recentEndpoints{std::chrono::seconds(10)}; // longer than a reclaimed endpoint is missing until another one took its place
    bool m_listSettled = false;                               // the list no longer comes in; never false again
    bool m_hasOrdered = false;                                // endpoints observed from then on may be this planner's own replacements
    std::map<capacity_pool, std::uint32_t> m_mostPresent;     // from the first call of next() to the first load: highest number by pool
    std::uint32_t m_foundEndpoints = 0;    // endpoints that ran before any load, without own replacements; 0: load came before the list had settled
    std::uint32_t m_measuredEndpoints = 0; // endpoints that the observed load calls for
    std::uint32_t m_desiredEndpoints = 0;  // the same, but not below m_foundEndpoints until mayReduce()
    scale_options m_options;
    demand_forecast m_forecast;
    duration m_bootTime = std::chrono::seconds(4);    // learned from own orders
    std::map<capacity_pool, started_order> m_started; // orders of more endpoints of which none has appeared yet
    bool m_queued = false;                            // demand_need::queued of the last observe()
    time_point m_reduceAt{};                          // earliest time of the next reduction
    demand_shares m_averageShares;                    // averaged over some seconds
    demand_shares m_shares;                           // those planned with: they follow m_averageShares in steps, so that small changes move no endpoint
    time_point m_sharesAt = noDeadline;               // when shares were last observed
    std::map<capacity_pool, last_order> m_ordered;
    std::map<capacity_pool, time_point> m_unavailableUntil; // end of the backoff after NoCapacity
};

} // namespace chicoryrouter
