// Forecasts the endpoints that a service needs when those that are ordered now have booted. No I/O.
//
// It is designed for load that doubles within a second while endpoints take seconds to boot: an order that waits for the full rise comes a
// boot time too late, and one that counts the queue as lasting demand pays for endpoints that boot when the queue is gone.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>
#include <deque>

namespace chicoryrouter {

struct service_load;

struct demand_need
{
    std::uint32_t steady = 0;   // endpoints for the load of now, without the part of the queue that will be gone when ordered endpoints have booted
    std::uint32_t expected = 0; // the same with the rise that goes on meanwhile; never below `steady`
    bool queued = false;        // more requests await their first token than at the target utilisation: no time to run fewer endpoints
};

class demand_forecast
{
public:
    demand_need observe(const service_load &load, std::uint32_t endpoints, std::uint32_t slots, duration bootTime, time_point now); // about once a second

private:
    struct sample
    {
        time_point at{};
        double open = 0.0;
        double awaitingFirstToken = 0.0;
        std::uint32_t endpoints = 0;
    };

    std::deque<sample> m_samples; // of the last two seconds, oldest first
    time_point m_risesSince = noDeadline;
    demand_need m_last; // of the last observe()
};

} // namespace chicoryrouter
