// Slot and pace token counting of one endpoint.
#include "chicoryrouter/endpoint.h"

#include "chicoryrouter/bounded_counter.h"

#include <array>

namespace chicoryrouter {

bool endpoint_load::acceptsNew() const
{
    return !leaving.load(std::memory_order_relaxed) && !resting.load(std::memory_order_relaxed);
}

void endpoint_load::rest(time_point until)
{
    time_point known = restUntil.load();
    while (known < until && !restUntil.compare_exchange_weak(known, until)) {
    }
    resting.store(true);
}

void endpoint_load::updateRest(time_point now)
{
    if (now < restUntil.load()) {
        return;
    }
    resting.store(false);
    if (now < restUntil.load()) { // rest() came in between
        resting.store(true);
    }
}

bool endpoint_load::tryAcquire()
{
    if (!acceptsNew()) {
        return false;
    }
    if (!paced.load(std::memory_order_relaxed)) {
        return tryIncrement(inFlight, slots);
    }
    std::uint32_t left = paceTokens.load(std::memory_order_relaxed);
    while (left > 0 && !paceTokens.compare_exchange_weak(left, left - 1, std::memory_order_relaxed)) {
    }
    return left > 0 && tryIncrement(inFlight, slots);
}

void endpoint_load::release()
{
    decrement(inFlight);
}

std::string_view toText(endpoint_use use)
{
    constexpr std::array<std::string_view, 5> names = {"usable", "leaving", "domain_out", "set_aside", "unknown_version"};
    return names.at(static_cast<std::size_t>(use));
}

} // namespace chicoryrouter
