// Settings of one daemon, read from a YAML file at start. They say who it is and where the platform is; everything that operators
// change while it runs is in the document instead.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicoryrouter {

// An example with every key and its default is examples/daemon.yaml.
struct settings
{
    std::string instance;                                     // `instance`: this entry instance's name, unique while it lives
    std::string failureDomain;                                // `failure_domain`: where it runs; named in the document
    address gateway;                                          // `gateway`: where callers connect
    address peer;                                             // `peer`: where other daemons connect; must differ from `gateway`
    address keyValue;                                         // `platform.key_value`
    address instanceList;                                     // `platform.instance_list`
    address cloud;                                            // `platform.cloud`; port 0: nothing is started or stopped by this daemon
    address metrics;                                          // `metrics`: where /metrics is served; port 0: at `gateway` or `readiness` only
    address readiness;                                        // `readiness`: where the platform asks whether to send callers; port 0: at `gateway` only
    bool hosted = false;                                      // `platform.form`: standard (the protocols of docs/STANDINS.md) or hosted (those of platform/)
    std::string region;                                       // `region`: hosted only; where its failure domain lies
    std::vector<std::pair<std::string, std::string>> domains; // `failure_domains`: hosted only; name and region of each
    duration leaseTerm = std::chrono::seconds(3);             // `platform.lease_term`: hosted only; of this daemon's entry and of duties, 1s to 60s
    duration documentWithin = std::chrono::seconds(3);        // `platform.document_within`: hosted only; a confirmed document is to be in force, 100ms to 10min
    duration leavingWithin = std::chrono::seconds(3);         // `platform.leaving_within`: hosted only; a leaving endpoint is to get no more work, likewise
    duration usageWindow = std::chrono::seconds(5);           // `platform.usage_window`: hosted only; requests are counted by account in spans of it
    unsigned retryReserve = 0;                                // `platform.retry_reserve`: retries of a service that all daemons together may save up; 0: each 8
    std::string peerKey;                                      // `peer_key`: shared by all daemons of a deployment; at least 16 characters
    std::string operatorTokenHash;                            // `operator_token_hash`: SHA-256 of the operators' token, in hex
    unsigned threads = 2;                                     // `threads`: request threads, 1 to 64
    duration pollInterval = std::chrono::seconds(1);          // `poll_interval`: instance list and load reports, 50ms to 60s
    duration gossipInterval = std::chrono::milliseconds(500); // `gossip_interval`: 50ms to 10s
    duration stopWithin = std::chrono::seconds(20);           // `stop_within`: longest planned stop, 0s to 1h
    duration handOverAfter{};         // `hand_over_after`: of a planned stop, until open requests are handed to peers; zero: half of `stop_within`
    std::string logLevel = "info";    // `log.level`: error, warning, info or debug
    std::string logFile;              // `log.file`: empty for standard output
    unsigned logLinesPerSecond = 500; // `log.lines_per_second`: of each kind; what goes over is counted, 1 to 100000
};

settings parseSettings(std::string_view yaml, std::string_view fileName); // throws error(BadRequest): file, line, key, what was expected
settings readSettingsFile(const std::string &path);                       // same errors; also when the file cannot be read

} // namespace chicoryrouter
