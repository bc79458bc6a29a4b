// Assembles a daemon: request threads, gateway, peer server and control strand.
#include "chicoryrouter/daemon.h"

#include "chicoryrouter/stop_plan.h"
#include "shell/clock.h"
#include "shell/connection_gauges.h"
#include "shell/control.h"
#include "shell/copy_manager.h"
#include "shell/daemon_ports.h"
#include "shell/gateway.h"
#include "shell/log.h"
#include "shell/operator_api.h"
#include "shell/peer_link.h"
#include "shell/request_threads.h"
#include "shell/server_stop.h"
#include "shell/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <thread>

namespace chicoryrouter {

struct daemon::parts
{
    parts(const settings &settings, daemon_ports &&ports)
        : ownSettings(settings)
        , storeCounters(std::make_shared<store_counters>())
        , peerCounters(std::make_shared<peer_counters>())
        , workers(settings.threads)
        , requestGateway(host, settings.instance)
        , copies(host, requestGateway, workers)
    {
        try {
            assemble(std::move(ports));
        } catch (...) {
            workers.stop(); // the threads use the members that are destroyed before `workers`
            throw;
        }
    }

    void assemble(daemon_ports &&ports)
    {
        host.copier = &copies;
        requestGateway.peers = &copies;
        host.answerLimits = ownSettings.answers;
        threads = bindRequestThreads(workers, ownSettings, storeCounters, peerCounters);
        peerServer = std::make_unique<peer_server>(
            workers, std::move(ports.peer), ownSettings.peerKey,
            [this](std::string path, std::string body) { return onPeerCall(std::move(path), std::move(body)); }, peerCounters);
        ownSettings.peer.port = peerServer->port();
        controlStrand = std::make_unique<control>(ownSettings, host, requestGateway, copies, storeCounters, peerCounters);
        operatorApi = std::make_unique<operator_api>(ownSettings, *controlStrand, host, requestGateway);
        host.onOutcome = [this](const attempt_outcome &outcome) {
            controlStrand->onOutcome(outcome);
        };
        requestGateway.operatorHandler = [this](http_exchange &exchange) {
            return operatorApi->handle(exchange);
        };
        requestGateway.updateGauges = [this](metrics &counts) {
            setConnectionGauges(counts, *storeCounters, *peerCounters);
        };
        http_server_limits limits;
        limits.requestBytes = host.requestBytes;
        server = std::make_unique<http_server>(
            workers, std::move(ports.gateway), [this](http_exchange &exchange) { return requestGateway.handle(exchange); }, limits);
        ownSettings.gateway.port = server->port();
        controlStrand->start();
    }

    // Calls about single requests are handled on the request thread; all others go to the control strand.
    boost::asio::awaitable<std::optional<std::string>> onPeerCall(std::string path, std::string body)
    {
        if (path == "/copy") {
            return copies.onCopy(std::move(body));
        }
        if (path == "/drop") {
            return copies.onDrop(std::move(body));
        }
        if (path == "/fetch") {
            return copies.onFetch(std::move(body));
        }
        return askControl(controlStrand.get(), std::move(path), std::move(body));
    }

    // Hands open requests over to peers and waits until each handover has succeeded or failed. Callers stay connected to this daemon, which
    // relays the peers' output until it stops.
    void handOverOpenRequests()
    {
        std::vector<std::future<bool>> handovers;
        for (const auto &session : host.openSessions()) {
            handovers.push_back(boost::asio::co_spawn(session->context(), session->handOver(), boost::asio::use_future));
        }
        for (std::future<bool> &handover : handovers) {
            handover.wait();
        }
    }

    settings ownSettings;
    std::shared_ptr<store_counters> storeCounters;
    std::shared_ptr<peer_counters> peerCounters;
    request_host host;
    worker_pool workers;
    request_threads threads; // declared after `workers`, so that its connections are destroyed before the I/O contexts
    chicoryrouter::gateway requestGateway;
    copy_manager copies;
    std::unique_ptr<peer_server> peerServer;
    std::unique_ptr<control> controlStrand;
    std::unique_ptr<operator_api> operatorApi;
    std::unique_ptr<http_server> server;
};

daemon::daemon(const settings &daemonSettings)
    : daemon(daemonSettings, takePortsAtOnce(daemonSettings))
{
}

daemon::daemon(const settings &daemonSettings, daemon_ports &&ports)
    : m_parts(std::make_unique<parts>(daemonSettings, std::move(ports)))
{
    logEvent(log_event::DaemonStarted, {{"instance", daemonSettings.instance}, {"failure_domain", daemonSettings.failureDomain}, {"version", CHICORY_VERSION}});
}

daemon::~daemon()
{
    crash();
}

address daemon::gateway() const
{
    return m_parts->ownSettings.gateway;
}

address daemon::peer() const
{
    return m_parts->ownSettings.peer;
}

bool daemon::isReady() const
{
    return m_parts->requestGateway.isReady();
}

std::uint64_t daemon::revisionInForce() const
{
    return m_parts->controlStrand->currentDocument()->revision;
}

std::size_t daemon::openRequests() const
{
    return m_parts->host.openCount();
}

std::string daemon::statusJson() const
{
    return m_parts->controlStrand->statusJson();
}

std::string daemon::metricsText() const
{
    setConnectionGauges(m_parts->host.counts, *m_parts->storeCounters, *m_parts->peerCounters);
    return m_parts->host.counts.text();
}

void daemon::stop()
{
    using namespace std::chrono_literals;
    const auto waitForCallers = [this](time_point deadline) {
        while (m_parts->requestGateway.activeCallers > 0 && systemNow() < deadline) {
            std::this_thread::sleep_for(10ms);
        }
    };
    const stop_plan plan = planStop(systemNow(), m_parts->ownSettings.stopWithin);
    logEvent(log_event::DaemonStopAsked, {{"instance", m_parts->ownSettings.instance}, {"callers", m_parts->requestGateway.activeCallers.load()}});
    m_parts->requestGateway.stopping = true;
    m_parts->server->closeAfterResponses();
    m_parts->controlStrand->leave();
    // Open requests may finish on their own first. The rest is handed over, and this daemon relays their output until the deadline.
    const duration drainTime = m_parts->ownSettings.handOverAfter > duration{} ? m_parts->ownSettings.handOverAfter : m_parts->ownSettings.stopWithin / 2;
    waitForCallers(systemNow() + std::min(drainTime, m_parts->ownSettings.stopWithin));
    m_parts->handOverOpenRequests();
    m_parts->host.beginStop({.sendUntil = plan.closeAt, .answerUntil = plan.bounds.answerUntil}); // for what no peer has taken
    waitForCallers(plan.closeAt);
    logDaemonStopped(m_parts->ownSettings.instance, stopServer(*m_parts->server, plan.giveUpAt));
    crash();
}

void daemon::crash()
{
    if (m_parts->server == nullptr) {
        return;
    }
    m_parts->server->abortAll();
    m_parts->peerServer->close();
    m_parts->controlStrand->stop();
    m_parts->workers.stop();
    m_parts->host.clear();
    m_parts->server.reset();
}

} // namespace chicoryrouter
