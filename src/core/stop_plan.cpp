// Computes the moments of a planned stop, backwards from its end where they must not come too late.
#include "chicoryrouter/stop_plan.h"

#include <algorithm>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr duration lameDuckTime = 2500ms;  // callers may be routed here for so long after the daemon says that it isn't ready
constexpr duration sendTime = 3s;          // what begins later might not finish in time
constexpr duration closeTime = 1500ms;     // to close a server that has no open requests
constexpr duration shutdownMargin = 300ms; // for the end of the process after its last connection
constexpr duration errorTime = 300ms;      // to send the final errors
constexpr int closeParts = 4;              // the close takes at most one part in so many of a short stop
constexpr int errorParts = 16;             // the same for the final errors

} // namespace

stop_plan planStop(time_point requestedAt, duration stopWithin)
{
    stop_plan plan;
    plan.giveUpAt = requestedAt + stopWithin - std::min(shutdownMargin, stopWithin / closeParts);
    plan.closeAt = plan.giveUpAt - std::min(closeTime, stopWithin / closeParts);
    plan.serveUntil = std::min(requestedAt + lameDuckTime, plan.closeAt);
    plan.bounds.sendUntil = std::min(requestedAt + sendTime, plan.closeAt);
    plan.bounds.answerUntil = plan.giveUpAt - std::min(errorTime, stopWithin / errorParts);
    return plan;
}

} // namespace chicoryrouter
