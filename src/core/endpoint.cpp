// Slot counting of one endpoint.
#include "chicoryrouter/endpoint.h"

#include <array>
#include <cassert>

namespace chicoryrouter {

bool endpoint_load::tryTake()
{
    std::uint32_t open = inFlight.load(std::memory_order_relaxed);
    while (open < slots.load(std::memory_order_relaxed)) {
        if (inFlight.compare_exchange_weak(open, open + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

void endpoint_load::giveBack()
{
    const std::uint32_t before = inFlight.fetch_sub(1, std::memory_order_acq_rel);
    assert(before > 0 && "giveBack() without a slot taken");
    (void)before;
}

std::string_view toText(endpoint_use use)
{
    constexpr std::array<std::string_view, 5> names = {"usable", "leaving", "domain_out", "set_aside", "unknown_version"};
    return names.at(static_cast<std::size_t>(use));
}

} // namespace chicoryrouter
