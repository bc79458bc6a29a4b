// Settings of one daemon, read from a YAML file at start. They give its identity and the addresses of the platform's services. Everything
// that operators change while the daemon runs is in the document instead (document.h).
#pragma once

#include "chicoryrouter/answer_limits.h"
#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/load_control.h"
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
    std::string instance;      // `instance`: this entry instance's name, unique among running instances
    std::string failureDomain; // `failure_domain`: where the instance runs; must be one that the document lists
    address gateway;           // `gateway`: listen address for callers
    address peer;              // `peer`: listen address for other daemons; must differ from `gateway`
    address keyValue;          // `platform.key_value`: address of the key-value service
    address instanceList;      // `platform.instance_list`: address of the instance list; standard only
    address cloud;             // `platform.cloud`: address of the cloud's API; port 0: this daemon starts and stops no instances
    address metrics;           // `metrics`: listen address for /metrics; port 0: served at `gateway` or `readiness` only
    address readiness;         // `readiness`: listen address for the platform's readiness checks; port 0: served at `gateway` only
    bool hosted = false;       // `platform.form`: standard (the protocols of docs/STANDINS.md) or hosted (those of platform/)
    std::string region;        // `region`: hosted only; region of this instance's failure domain
    std::vector<std::pair<std::string, std::string>> domains; // `failure_domains`: hosted only; name and region of each
    duration leaseTerm = std::chrono::seconds(3);      // `platform.lease_term`: hosted only; term of the leases on this daemon's entry and on duties, 1s to 60s
    duration documentWithin = std::chrono::seconds(3); // `platform.document_within`: hosted only; for all daemons to adopt a confirmed document, 100ms to 10min
    duration leavingWithin = std::chrono::seconds(3); // `platform.leaving_within`: hosted only; time until a leaving endpoint gets no more work, 100ms to 10min
    duration usageWindow = std::chrono::seconds(5);   // `platform.usage_window`: hosted only; window for counting requests per account, 1s to 1h
    duration accountWindow{};  // `platform.account_window`: hosted only; the token limits of accounts apply to any such time span, 1s to 10min; 0: token bucket
    unsigned retryReserve = 0; // `platform.retry_reserve`: unused retries of a service that all daemons together may save up; 0: 8 for each daemon
    load_control_mode loadControl = load_control_mode::Auto;  // `load_control`: auto, on or off
    std::string peerKey;                                      // `peer_key`: shared by all daemons of a deployment; at least 16 characters
    std::string operatorTokenHash;                            // `operator_token_hash`: SHA-256 of the operators' token, in hex
    unsigned threads = 2;                                     // `threads`: request threads, 1 to 64
    duration pollInterval = std::chrono::seconds(1);          // `poll_interval`: between polls of the instance list and of load reports, 50ms to 60s
    duration gossipInterval = std::chrono::milliseconds(500); // `gossip_interval`: 50ms to 10s
    duration stopWithin = std::chrono::seconds(20);           // `stop_within`: maximum duration of a planned stop, 0s to 1h
    duration handOverAfter{}; // `hand_over_after`: from the start of a planned stop until open requests are handed to peers; zero: half of `stop_within`
    answer_limits answers; // `answers.max_events`: of a stream whose request states no number of tokens; `answers.max_bytes`: of an answer that is held whole
    std::string logLevel = "info";    // `log.level`: error, warning, info or debug
    std::string logFile;              // `log.file`: empty for standard output
    unsigned logLinesPerSecond = 500; // `log.lines_per_second`: limit for each kind of line; lines above it are only counted, 1 to 100000
};

settings parseSettings(std::string_view yaml, std::string_view fileName); // throws error(BadRequest) with file, line, key and the expected value
settings readSettingsFile(const std::string &path);                       // same errors; also throws when the file cannot be read

} // namespace chicoryrouter
