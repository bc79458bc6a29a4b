// The control strand of a daemon: owns all mutable state that is not a request's, learns from platform, peers and outcomes, and
// publishes the tables that request threads read. Everything here runs on one thread; functions marked "any thread" post to it.
#pragma once

#include "chicoryrouter/configuration.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/settings.h"
#include "shell/gateway.h"
#include "shell/http.h"
#include "shell/platform_client.h"
#include "shell/request_host.h"
#include "shell/store_client.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace chicoryrouter {

class control
{
public:
    control(const settings &own, request_host &host, gateway &front, std::shared_ptr<store_counters> counters);
    ~control();

    void start();
    void stop(); // any thread; joins

    void onOutcome(const attempt_outcome &outcome); // any thread
    [[nodiscard]] std::string statusJson();         // any thread but the control strand; waits for it
    [[nodiscard]] boost::asio::io_context &context() { return m_context; }
    [[nodiscard]] std::shared_ptr<const revisioned_document> inForce() const { return m_front.front.share()->inForce; } // any thread

    // Operators' change: adopted here at once when the key-value service took it. On the control strand.
    boost::asio::awaitable<std::uint64_t> applyDocument(std::string yaml, std::uint64_t expectedRevision);

private:
    boost::asio::awaitable<void> watchConfiguration();
    boost::asio::awaitable<void> pollInstances();
    boost::asio::awaitable<void> pollLoad();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> pause(duration span);
    boost::asio::awaitable<void> fetchLoad(endpoint_ptr from);

    void offerDocument(const std::string &bytes, const char *source);
    void publish();
    void publishFront();
    std::string composeStatus() const;

    settings m_own;
    request_host &m_host;
    gateway &m_front;
    boost::asio::io_context m_context{1};
    std::thread m_thread;
    http_client m_client;
    store_client m_store;
    seeded_random m_random;
    configuration m_configuration;
    fleet m_fleet;
    std::map<std::string, std::shared_ptr<account_load>> m_accounts; // by name; kept over documents, so counts stay right
    std::uint64_t m_storeVersion = 0;                                // of the configuration key when last read
};

} // namespace chicoryrouter
