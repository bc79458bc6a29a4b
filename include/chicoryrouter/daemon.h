// One chicoryrouter daemon as an object: what chicoryrouterd runs, and what the demo, the benchmarks and the tests run several of.
//
//     chicoryrouter::settings own = chicoryrouter::readSettingsFile("daemon.yaml");
//     chicoryrouter::daemon router(own);      // listens; throws when it cannot
//     ...
//     router.stop();                          // planned stop: cuts nothing
#pragma once

#include "chicoryrouter/settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicoryrouter {

class daemon
{
public:
    explicit daemon(const settings &daemonSettings); // a port of 0 in `gateway` or `peer` takes any free one
    ~daemon();                                       // stops at once if stop() was not called
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;

    [[nodiscard]] address gateway() const; // where callers connect
    [[nodiscard]] address peer() const;    // where other daemons connect
    [[nodiscard]] bool isReady() const;    // holds a document and takes new work
    [[nodiscard]] std::uint64_t revisionInForce() const;
    [[nodiscard]] std::size_t openRequests() const;
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string metricsText() const;

    void stop();  // takes no new work, finishes or hands over what is open, then closes
    void crash(); // closes everything at once, as a power cut would; for tests and the demo

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace chicoryrouter
