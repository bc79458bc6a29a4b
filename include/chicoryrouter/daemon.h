// One chicoryrouter daemon as an object. chicoryrouterd runs one; the demo, the benchmarks and the tests run several in one process.
//
//     chicoryrouter::settings daemonSettings = chicoryrouter::readSettingsFile("daemon.yaml");
//     chicoryrouter::daemon router(daemonSettings); // listens; throws if it cannot
//     ...
//     router.stop();                                // graceful stop: interrupts no open request
#pragma once

#include "chicoryrouter/settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicoryrouter {

struct daemon_ports;

class daemon
{
public:
    explicit daemon(const settings &daemonSettings);              // port 0 in `gateway` or `peer`: uses any free port
    daemon(const settings &daemonSettings, daemon_ports &&ports); // listens at ports that are already bound
    ~daemon();                                                    // stops at once if stop() was not called; open requests are interrupted
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;

    [[nodiscard]] address gateway() const; // where callers connect
    [[nodiscard]] address peer() const;    // where other daemons connect
    [[nodiscard]] bool isReady() const;    // has a document and accepts new requests
    [[nodiscard]] std::uint64_t revisionInForce() const;
    [[nodiscard]] std::size_t openRequests() const;
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string metricsText() const;

    void stop();  // accepts no new requests, finishes or hands over the open ones, then closes
    void crash(); // closes everything at once, as on a power failure; for tests and the demo

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace chicoryrouter
