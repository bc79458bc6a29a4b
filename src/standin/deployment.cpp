// Builds the deployment: generates its configuration document, starts the simulated services and the daemons.
#include "standin/deployment.h"

#include "chicoryrouter/configuration.h"
#include "chicoryrouter/units.h"
#include "shell/clock.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace chicoryrouter {

namespace {

constexpr std::uint16_t anyPort = 0;

std::string domainLines(const deployment_options &options)
{
    std::string lines;
    for (const std::string &name : options.failureDomains) {
        lines += "  - {name: " + name + ", region: prairie}\n";
    }
    return lines;
}

} // namespace

std::string deploymentDocument(const deployment_options &options)
{
    const std::string concurrency
        = "initial_concurrency: " + std::to_string(options.initialConcurrency) + ", max_concurrency: " + std::to_string(options.maxConcurrency);
    std::string text = "services:\n"
                       "  - name: writer\n    kind: model\n    current_version: v1\n    versions:\n";
    text += "      - {name: v1, " + concurrency + "}\n      - {name: v2, " + concurrency + "}\n";
    text += "  - name: shop\n    kind: plain\n    current_version: v1\n    versions:\n";
    text += "      - {name: v1, initial_concurrency: 64, max_concurrency: 512}\n";
    text += "failure_domains:\n" + domainLines(options);
    text += "accounts:\n  - {name: demo, weight: 1, max_in_flight: " + std::to_string(options.accountLimit) + ", token_hashes: [" + hashToken(demoToken)
        + "]}\n";
    text += "routes:\n"
            "  - {name: chat, service: writer, repeatable: true, priority: prompt, first_token_target: 730ms, between_tokens_target: 35ms, deadline: 30s}\n"
            "  - {name: write-up, service: writer, repeatable: true, must_finish: true, priority: long, deadline: 10min}\n"
            "  - {name: stock, service: shop, path: /stock, repeatable: true, priority: prompt, first_token_target: 200ms, deadline: 5s}\n"
            "  - {name: orders, service: shop, path: /orders, repeatable: false, key_required: true, deadline: 5s}\n"
            "  - {name: notes, service: shop, path: /notes, repeatable: false, deadline: 5s}\n";
    if (!options.versionMove.empty()) {
        text += "moves:\n  - " + options.versionMove + "\n";
    }
    return text;
}

deployment::deployment(deployment_options options)
    : m_options(std::move(options))
    , m_workers(m_options.standinThreads)
    , m_store(std::make_unique<store_standin>(m_workers))
    , m_platform(std::make_unique<platform_standin>(m_workers))
{
    m_store->put(std::string(configurationKey), encodeEnvelope({m_revision, deploymentDocument(m_options)}));
    for (const std::string &domain : m_options.failureDomains) {
        for (unsigned i = 0; i < m_options.enginesPerDomain; ++i) {
            const std::string id = "engine-" + std::to_string(m_engines.size() + 1);
            m_engines.push_back(&m_platform->addEngine({id, domain, instance_class::Reclaimable, "writer", "v1", {}}, m_options.engine));
        }
        for (unsigned i = 0; i < m_options.plainPerDomain; ++i) {
            const std::string id = "shop-" + std::to_string(m_plain.size() + 1);
            m_plain.push_back(&m_platform->addPlain({id, domain, instance_class::OnDemand, "shop", "v1", {}}));
        }
    }
    for (unsigned i = 0; i < m_options.daemons; ++i) {
        addDaemon();
    }
}

deployment::~deployment()
{
    m_daemons.clear();
    m_workers.stop();
}

daemon &deployment::addDaemon()
{
    settings daemonSettings;
    daemonSettings.instance = "entry-" + std::to_string(m_daemons.size() + 1);
    daemonSettings.failureDomain = m_options.failureDomains[m_daemons.size() % m_options.failureDomains.size()];
    daemonSettings.gateway = {"127.0.0.1", anyPort};
    daemonSettings.peer = {"127.0.0.1", anyPort};
    daemonSettings.keyValue = m_store->listenAddress();
    daemonSettings.instanceList = m_platform->listenAddress();
    daemonSettings.cloud = m_platform->listenAddress();
    daemonSettings.peerKey = "demo-peer-key-0123456789";
    daemonSettings.operatorTokenHash = hashToken(demoOperatorToken);
    daemonSettings.threads = m_options.threadsPerDaemon;
    daemonSettings.pollInterval = m_options.pollInterval;
    daemonSettings.gossipInterval = m_options.gossipInterval;
    daemonSettings.stopWithin = m_options.stopWithin;
    daemonSettings.handOverAfter = m_options.handOverAfter;
    m_daemons.push_back(std::make_unique<daemon>(daemonSettings));
    m_platform->addEntry({daemonSettings.instance, daemonSettings.failureDomain, m_daemons.back()->peer()});
    return *m_daemons.back();
}

void deployment::replaceDocument(const std::string &yaml)
{
    m_store->put(std::string(configurationKey), encodeEnvelope({++m_revision, yaml}));
}

bool deployment::waitUntil(const std::function<bool()> &condition, duration timeout)
{
    const time_point deadline = systemNow() + timeout;
    while (!condition()) {
        if (systemNow() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

bool deployment::waitReady(duration timeout)
{
    const std::size_t endpoints = m_engines.size() + m_plain.size();
    return waitUntil(
        [&] {
            for (const auto &item : m_daemons) {
                const auto status = nlohmann::json::parse(item->statusJson());
                const bool knowsAll = status["endpoints"].size() >= endpoints && status["members"].size() >= m_daemons.size();
                if (!item->isReady() || !knowsAll) {
                    return false;
                }
            }
            return true;
        },
        timeout);
}

http_response deployment::completion(std::size_t daemonIndex, const std::string &route, const std::string &prompt, unsigned tokens, bool stream)
{
    http_call call;
    call.method = "POST";
    call.target = "/v1/completions";
    call.headers = bearer(demoToken);
    call.body = nlohmann::json({{"model", route}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}}).dump();
    return sync_client().call(at(daemonIndex).gateway(), std::move(call));
}

http_response deployment::plain(std::size_t daemonIndex, const std::string &method, const std::string &path, const std::string &key, const std::string &body)
{
    http_call call;
    call.method = method;
    call.target = path;
    call.headers = bearer(demoToken);
    if (!key.empty()) {
        call.headers.push_back({"Idempotency-Key", key});
    }
    call.body = body;
    return sync_client().call(at(daemonIndex).gateway(), std::move(call));
}

std::string deployment::engineId(std::size_t index) const
{
    return "engine-" + std::to_string(index + 1);
}

} // namespace chicoryrouter
