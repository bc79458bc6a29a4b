// Puts a daemon together: request threads, gateway, control strand.
#include "chicoryrouter/daemon.h"

#include "shell/clock.h"
#include "shell/control.h"
#include "shell/gateway.h"
#include "shell/log.h"
#include "shell/worker_pool.h"

#include <boost/asio/post.hpp>

#include <future>
#include <random>
#include <thread>

namespace chicoryrouter {

struct daemon::parts
{
    explicit parts(const settings &settings)
        : own(settings)
        , counters(std::make_shared<store_counters>())
        , front(host, settings.instance)
        , steering(settings, host, front, counters)
        , workers(settings.threads)
    {
        host.onOutcome = [this](const attempt_outcome &outcome) {
            steering.onOutcome(outcome);
        };
        bindThreads();
        server = std::make_unique<http_server>(workers, own.gateway, [this](http_exchange &exchange) { return front.handle(exchange); });
        own.gateway.port = server->port();
        steering.start();
    }

    void bindThreads()
    {
        std::random_device seeds;
        for (std::size_t i = 0; i < workers.size(); ++i) {
            boost::asio::io_context &context = workers.at(i);
            threads.push_back(std::make_unique<request_thread>(context, own.keyValue, counters, seeds()));
            std::promise<void> bound;
            boost::asio::post(context, [this, i, &bound] {
                gateway::bindThread(threads[i].get());
                bound.set_value();
            });
            bound.get_future().wait();
        }
    }

    settings own;
    std::shared_ptr<store_counters> counters;
    request_host host;
    chicoryrouter::gateway front;
    control steering;
    worker_pool workers;
    std::vector<std::unique_ptr<request_thread>> threads; // after `workers`: their connections end before the contexts do
    std::unique_ptr<http_server> server;
};

daemon::daemon(const settings &own)
    : m_parts(std::make_unique<parts>(own))
{
    logLine(log_part::Daemon, log_level::Info, own.instance + " serves in " + own.failureDomain);
}

daemon::~daemon()
{
    crash();
}

address daemon::gateway() const
{
    return m_parts->own.gateway;
}

address daemon::peer() const
{
    return m_parts->own.peer;
}

bool daemon::isReady() const
{
    return revisionInForce() > 0 && !m_parts->front.stopping;
}

std::uint64_t daemon::revisionInForce() const
{
    return m_parts->steering.inForce()->revision;
}

std::size_t daemon::openRequests() const
{
    return m_parts->host.openCount();
}

std::string daemon::statusJson() const
{
    return m_parts->steering.statusJson();
}

void daemon::stop()
{
    using namespace std::chrono_literals;
    m_parts->front.stopping = true;
    const time_point giveUpAt = systemNow() + m_parts->own.stopWithin;
    while (openRequests() > 0 && systemNow() < giveUpAt) {
        std::this_thread::sleep_for(10ms);
    }
    std::this_thread::sleep_for(50ms); // last bytes leave
    logLine(log_part::Daemon, log_level::Info, m_parts->own.instance + " stops with " + std::to_string(openRequests()) + " requests open");
    crash();
}

void daemon::crash()
{
    if (m_parts->server == nullptr) {
        return;
    }
    m_parts->server->abortAll();
    m_parts->steering.stop();
    m_parts->workers.stop();
    m_parts->host.clear();
}

} // namespace chicoryrouter
