// The planned end of an HTTP server: closes it without losing a request that the kernel or the server has accepted.
#pragma once

#include "chicoryrouter/time.h"
#include "shell/http.h"

#include <string>

namespace chicoryrouter {

// How a server's connections ended.
struct server_stop_report
{
    std::size_t acceptedLate = 0;   // taken from the listening socket's queue after the close had begun
    std::size_t closedIdle = 0;     // connections closed while they were idle
    std::size_t cutRequests = 0;    // requests that were still open at the deadline
    std::size_t cutConnections = 0; // connections that were still open at the deadline, those of the requests included
    duration took{};
};

// Blocks until every connection has ended, at most until `giveUpAt`. Requests that arrive meanwhile still go to the server's handler.
server_stop_report stopServer(http_server &server, time_point giveUpAt);

void logDaemonStopped(const std::string &instance, const server_stop_report &report);

} // namespace chicoryrouter
