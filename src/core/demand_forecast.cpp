// Forecasts demand from the slope of the load and of its queue.
#include "chicoryrouter/demand_forecast.h"

#include "chicoryrouter/scaling.h"

#include <algorithm>
#include <cmath>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr duration trendWindow = 2s;  // about the time that the averages of the load take to follow
constexpr double regularQueue = 1.22; // requests that await their first token at an endpoint at the target utilisation of 0.55
constexpr double longQueue = 1.5 * regularQueue;
constexpr double leastRise = 0.05;    // part of the load per second, from which on it counts as rising
constexpr double leastGrowth = 1.05;  // times the endpoints, from which on their number counts as grown
constexpr double largestRise = 1.5;   // at most so many times the load is expected
constexpr double largestGrowth = 2.0; // and at most so many times the endpoints that run

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

demand_need demand_forecast::observe(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, duration bootTime, time_point now)
{
    m_samples.push_back({now, load.open, load.awaitingFirstToken, endpoints});
    while (m_samples.front().at + trendWindow < now) {
        m_samples.pop_front();
    }
    // The smallest number of the window: the queue of endpoints that have just appeared was built up without them.
    const auto fewest = std::min_element(m_samples.begin(), m_samples.end(), [](const sample &a, const sample &b) { return a.endpoints < b.endpoints; });
    const std::uint32_t base = std::max(fewest->endpoints, 1U);
    const auto queueOf = [base](const sample &item) {
        return std::max(0.0, item.awaitingFirstToken - regularQueue * base);
    };
    const sample &oldest = m_samples.front();
    const double span = seconds(now - oldest.at);
    const double queue = queueOf(m_samples.back());
    const double queueSlope = span > 0.0 ? (queue - queueOf(oldest)) / span : 0.0;
    // A queue that gets shorter is counted with its length at the time when endpoints ordered now could help.
    const double drained = std::clamp(-queueSlope * seconds(bootTime), 0.0, queue);
    demand_need need;
    need.queued = load.awaitingFirstToken > longQueue * std::max(endpoints, 1U);
    need.steady = endpointsFor({load.open - drained, load.awaitingFirstToken - drained}, base, slots);
    // The slope is that of the requests beside the queue: a queue that grows at constant arrivals is no rise.
    const double served = std::max(load.open - queue, 1.0);
    const double servedSlope = span > 0.0 ? (served - (oldest.open - queueOf(oldest))) / span : 0.0;
    const bool rises = servedSlope > leastRise * served;
    m_risesSince = rises ? std::min(m_risesSince, oldest.at) : noDeadline;
    // A rise is expected to last as long again as it has lasted, at most until the ordered endpoints have booted.
    const double horizon = rises ? seconds(std::min(bootTime, now - m_risesSince)) : 0.0;
    const double factor = std::min(largestRise, 1.0 + servedSlope * horizon / served);
    const double risen = std::min(need.steady * factor, largestGrowth * base);
    need.expected = std::max(need.steady, rises ? static_cast<std::uint32_t>(std::ceil(risen)) : 0U);
    // Endpoints that have just appeared: whether they are enough shows only when the averages have followed.
    const bool appeared = endpoints > base * leastGrowth;
    if (appeared && m_last.expected > 0) {
        need.expected = std::min(need.expected, m_last.expected);
        need.steady = std::min(need.steady, need.expected);
    }
    m_last = need;
    return need;
}

} // namespace chicoryrouter
