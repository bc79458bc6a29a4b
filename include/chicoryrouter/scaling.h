// How many endpoints a service is to have where the platform keeps a stated number of them running by itself: from observed load to
// orders "so many of this class in this failure domain".
//
// Index
//   load . orders . the planner
//
// The load it answers: a day's waves and bursts with boot times of seconds, reclaims that take a failure domain's cheap endpoints at once
// and then refuse new ones for a while, and prices that differ by failure domain and class.
// Pure; used by the one daemon that carries the duties.
#pragma once

#include "chicoryrouter/placement.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryrouter {

// ---- Load ------------------------------------------------------------------------------------------------------------------------------

// Requests of a service, over all daemons, as averages of the last second or two.
struct service_load
{
    double open = 0.0;               // at its endpoints
    double awaitingFirstToken = 0.0; // of those: not answered at all yet; they read their prompts, or wait to
};

// Endpoints that would carry the load at the wanted utilisation. Requests that await their first token stand in a queue whose length
// grows with utilisation u as u / (1 - u): so their number says how much of the present endpoints' time prompts take.
std::uint32_t endpointsFor(const service_load &load, std::uint32_t endpoints, std::uint32_t slots);

// ---- Orders ----------------------------------------------------------------------------------------------------------------------------

struct scale_order
{
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::uint32_t count = 0; // to be running; leaving ones not counted

    bool operator==(const scale_order &) const = default;
};

enum class order_result : std::uint8_t {
    Accepted,
    NoCapacity, // of this class in this failure domain, now
    Unanswered, // the order may stand or not: it is given again
};

struct scale_bounds
{
    std::uint32_t minPerDomain = 0; // of both classes together
    std::uint32_t maxPerDomain = 0;
    std::uint32_t slots = 1; // requests that one endpoint runs at once
};

// ---- The planner -----------------------------------------------------------------------------------------------------------------------

class scale_planner
{
public:
    void observe(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, time_point now); // about once a second

    // Orders to be given now: those whose count differs from what was ordered or runs. Empty until the load was seen for a while.
    std::vector<scale_order> next(
        const scale_bounds &bounds, const std::vector<placement_offer> &offers, const std::vector<running_endpoint> &running, time_point now);
    void onAnswer(const scale_order &order, order_result answer, time_point now);

    [[nodiscard]] std::uint32_t desiredEndpoints() const { return m_desiredEndpoints; } // endpoints, at the last next()

private:
    using capacity_pool = std::pair<std::string, instance_class>;

    struct last_order
    {
        std::uint32_t count = 0;
        time_point repeatAt{}; // when what runs still differs, it is given again
    };

    [[nodiscard]] std::map<capacity_pool, std::uint32_t> plan(const scale_bounds &bounds, const std::vector<placement_offer> &offers) const;
    void substituteOnDemand(std::map<capacity_pool, std::uint32_t> &counts,
        const std::map<capacity_pool, std::uint32_t> &present,
        std::uint32_t mostPerDomain,
        time_point now) const;

    demand_meter m_demand{std::chrono::seconds(8)};
    time_point m_observedSince = noDeadline; // since when load was observed
    std::uint32_t m_desiredEndpoints = 0;
    std::map<capacity_pool, last_order> m_ordered;
    std::map<capacity_pool, time_point> m_unavailableUntil; // refused: not asked again before
};

} // namespace chicoryrouter
