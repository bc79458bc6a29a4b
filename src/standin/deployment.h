// A small but complete deployment on loopback in one process: simulated platform services, simulated endpoints and real daemons.
// Used by the demo, the tests and the benchmarks.
#pragma once

#include "chicoryrouter/daemon.h"
#include "standin/platform_standin.h"
#include "standin/sync_client.h"

#include <memory>
#include <string>
#include <vector>

namespace chicoryrouter {

// Size and settings of the deployment. The intervals are settings of every daemon.
struct deployment_options
{
    unsigned daemons = 2;
    unsigned threadsPerDaemon = 2;
    unsigned standinThreads = 2;
    std::vector<std::string> failureDomains = {"fd-1", "fd-2"};
    unsigned enginesPerDomain = 1;
    unsigned plainPerDomain = 1;
    engine_options engine;
    std::uint32_t initialConcurrency = 4;
    std::uint32_t maxConcurrency = 8;
    std::uint32_t accountLimit = 200;
    duration pollInterval = std::chrono::milliseconds(100);
    duration gossipInterval = std::chrono::milliseconds(100);
    duration handOverAfter{}; // from the start of a planned stop until open requests are handed to peers; zero: half of stopWithin
    duration stopWithin = std::chrono::seconds(20);
    std::string versionMove; // YAML of one entry under `moves` (a move between service versions); empty: none
};

// Routes in the generated configuration document:
// - model routes `chat` (prompt priority, repeatable) and `write-up` (long priority, repeatable, must finish);
// - plain routes `/stock` (repeatable), `/orders` (at most once, idempotency key required) and `/notes` (at most once, without a key).
// The only client account is `demo`; its token is demoToken.
inline constexpr const char *demoToken = "demo-token";
inline constexpr const char *demoOperatorToken = "demo-operator-token";

std::string deploymentDocument(const deployment_options &options);

class deployment
{
public:
    explicit deployment(deployment_options options = {});
    ~deployment();

    [[nodiscard]] daemon &at(std::size_t index) { return *m_daemons.at(index); }
    [[nodiscard]] std::size_t size() const { return m_daemons.size(); }
    daemon &addDaemon();                                         // assigns failure domains round-robin
    void replaceDocument(const std::string &yaml);               // writes directly to the store as the next revision, bypassing the daemons
    bool waitReady(duration timeout = std::chrono::seconds(10)); // for all daemons to be ready and to know all endpoints and daemons; false on timeout
    bool waitUntil(const std::function<bool()> &condition, duration timeout); // polls the condition; false on timeout

    http_response completion(std::size_t daemonIndex, const std::string &route, const std::string &prompt, unsigned tokens, bool stream = true);
    http_response plain(std::size_t daemonIndex, const std::string &method, const std::string &path, const std::string &key = "", const std::string &body = "");

    store_standin &store() { return *m_store; }
    platform_standin &platform() { return *m_platform; }
    plain_standin &plainAt(std::size_t index) { return *m_plain.at(index); }
    engine_standin &engineAt(std::size_t index) { return *m_engines.at(index); }
    [[nodiscard]] std::string engineId(std::size_t index) const;
    worker_pool &workers() { return m_workers; }

private:
    deployment_options m_options;
    worker_pool m_workers;
    std::unique_ptr<store_standin> m_store;
    std::unique_ptr<platform_standin> m_platform;
    std::vector<engine_standin *> m_engines; // owned by m_platform
    std::vector<plain_standin *> m_plain;    // owned by m_platform
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::uint64_t m_revision = 1; // of the configuration document in the store
};

} // namespace chicoryrouter
