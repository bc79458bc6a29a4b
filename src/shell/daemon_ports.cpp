// Waiting for ports.
#include "shell/daemon_ports.h"

#include "shell/log.h"

#include <algorithm>

namespace chicoryrouter {

namespace {

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

std::optional<time_point> port_wait::nextTryAt(const port_error &fault, time_point now) const
{
    if (!fault.isInUse() || now >= m_giveUpAt) {
        return std::nullopt;
    }
    return std::min(now + portRetryInterval, m_giveUpAt);
}

void logPortWait(const port_error &fault, time_point now, time_point giveUpAt)
{
    logEvent(log_event::PortWait,
        {{"setting", fault.request().setting}, {"address", toText(fault.request().where)}, {"transport", toText(fault.request().transport)},
            {"why", fault.reason()}, {"wait_left_ms", milliseconds(giveUpAt - now)}});
}

void logPortTaken(const port_request &request, time_point waitingSince, time_point now)
{
    logEvent(log_event::PortTaken,
        {{"setting", request.setting}, {"address", toText(request.where)}, {"transport", toText(request.transport)},
            {"waited_ms", milliseconds(now - waitingSince)}});
}

daemon_ports takePortsAtOnce(const settings &own)
{
    return takePorts(own, systemNow(), [](time_point) {});
}

} // namespace chicoryrouter
