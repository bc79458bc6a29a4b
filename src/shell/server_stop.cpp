// Closes a server's listening socket, then its connections as they become idle.
#include "shell/server_stop.h"

#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/log.h"

#include <thread>

namespace chicoryrouter {

namespace {
constexpr duration pollInterval = std::chrono::milliseconds(20);
} // namespace

server_stop_report stopServer(http_server &server, time_point giveUpAt)
{
    const time_point startedAt = systemNow();
    server.close();
    while (systemNow() < giveUpAt && (server.isListening() || server.connections() > 0)) {
        server.closeIdle();
        std::this_thread::sleep_for(pollInterval);
    }
    server_stop_report report;
    report.acceptedLate = server.acceptedLate();
    report.closedIdle = server.closedIdle();
    report.cutRequests = server.busy();
    report.cutConnections = server.connections();
    report.took = systemNow() - startedAt;
    return report;
}

void logDaemonStopped(const std::string &instance, const server_stop_report &report)
{
    logEvent(log_event::DaemonStopped,
        {{"instance", instance}, {"accepted_late", report.acceptedLate}, {"closed_idle", report.closedIdle}, {"cut_requests", report.cutRequests},
            {"cut_connections", report.cutConnections}, {"close_ms", inMilliseconds(report.took)}});
}

} // namespace chicoryrouter
