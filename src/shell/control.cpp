// The control strand's loops.
#include "shell/control.h"

#include "chicoryrouter/hash.h"
#include "shell/clock.h"
#include "shell/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <random>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

constexpr duration tickInterval = 50ms;
constexpr duration watchFor = 10s;       // one waiting watch
constexpr duration afterFailure = 500ms; // before asking the platform again
constexpr duration callWithin = 2s;

} // namespace

control::control(const settings &own, request_host &host, gateway &front, std::shared_ptr<store_counters> counters)
    : m_own(own)
    , m_host(host)
    , m_front(front)
    , m_client(m_context.get_executor())
    , m_store(m_context.get_executor(), own.keyValue, std::move(counters))
    , m_random(std::random_device()())
    , m_fleet(own.failureDomain, hashBytes(own.instance))
{
}

control::~control()
{
    stop();
}

void control::start()
{
    asio::co_spawn(m_context, watchConfiguration(), asio::detached);
    asio::co_spawn(m_context, pollInstances(), asio::detached);
    asio::co_spawn(m_context, pollLoad(), asio::detached);
    asio::co_spawn(m_context, tick(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

void control::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

asio::awaitable<void> control::pause(duration span)
{
    asio::steady_timer timer(m_context, span);
    co_await timer.async_wait(asio::use_awaitable);
}

// ---- Configuration ---------------------------------------------------------------------------------------------------------------------

asio::awaitable<void> control::watchConfiguration()
{
    const std::string key(configurationKey);
    while (true) {
        const store_reply reply = co_await m_store.watch(key, m_storeVersion, systemNow() + watchFor);
        if (reply.outcome == store_outcome::Ok) {
            m_storeVersion = reply.version;
            offerDocument(reply.value, "key-value service");
        } else {
            co_await pause(afterFailure);
        }
    }
}

void control::offerDocument(const std::string &bytes, const char *source)
{
    std::optional<document_envelope> envelope = decodeEnvelope(bytes);
    if (!envelope) {
        logLine(log_part::Config, log_level::Error, std::string("the ") + source + " holds no document");
        return;
    }
    const std::uint64_t revision = envelope->revision;
    switch (m_configuration.offer(revision, std::move(envelope->text))) {
    case adoption::Adopted:
        logLine(log_part::Config, log_level::Info, "revision " + std::to_string(revision) + " in force, from the " + source);
        m_fleet.setDocument(m_configuration.inForce());
        publishFront();
        publish();
        break;
    case adoption::Invalid:
        logLine(log_part::Config, log_level::Error, "revision " + std::to_string(revision) + " refused: " + m_configuration.lastFault());
        break;
    case adoption::NotNewer:
        break;
    }
}

asio::awaitable<std::uint64_t> control::applyDocument(std::string yaml, std::uint64_t expectedRevision)
{
    const std::string key(configurationKey);
    parseDocument(yaml); // throws before anything is changed
    const store_reply held = co_await m_store.get(key, systemNow() + callWithin);
    if (held.outcome == store_outcome::Unavailable) {
        throw error(error_kind::PlatformUnavailable, "the key-value service does not answer");
    }
    const std::optional<document_envelope> present = held.outcome == store_outcome::Ok ? decodeEnvelope(held.value) : document_envelope{};
    const std::uint64_t presentRevision = present ? present->revision : 0;
    if (presentRevision != expectedRevision) {
        throw error(error_kind::StaleRevision, "revision " + std::to_string(presentRevision) + " is in force, not " + std::to_string(expectedRevision));
    }
    const std::string bytes = encodeEnvelope({expectedRevision + 1, yaml});
    store_reply reply = co_await m_store.compareAndSwap(key, held.version, bytes, duration{}, systemNow() + callWithin);
    if (reply.outcome == store_outcome::Unavailable) {
        // The write may have taken effect: read back before saying anything.
        reply = co_await m_store.get(key, systemNow() + callWithin);
        if (reply.outcome == store_outcome::Ok && reply.value != bytes) {
            reply.outcome = store_outcome::Conflict;
        }
    }
    if (reply.outcome == store_outcome::Conflict) {
        throw error(error_kind::StaleRevision, "another operator was faster");
    }
    if (reply.outcome != store_outcome::Ok) {
        throw error(error_kind::PlatformUnavailable, "it is not known whether the change was taken; ask for the revision in force");
    }
    offerDocument(bytes, "operator");
    co_return expectedRevision + 1;
}

// ---- Endpoints -------------------------------------------------------------------------------------------------------------------------

asio::awaitable<void> control::pollInstances()
{
    while (true) {
        const std::optional<instance_list> list = co_await fetchInstanceList(m_client, m_own.instanceList, systemNow() + callWithin);
        if (list) {
            for (const reclaim_notice &notice : m_fleet.onInstanceList(list->endpoints, systemNow())) {
                logLine(log_part::Load, log_level::Info, notice.endpointId + " is on notice");
                publish(); // no new work there before its streams look for another place
                m_host.moveStreams(notice);
            }
        }
        co_await pause(m_own.pollInterval);
    }
}

asio::awaitable<void> control::pollLoad()
{
    while (true) {
        for (const endpoint_status &status : m_fleet.status()) {
            asio::co_spawn(m_context, fetchLoad(status.known), asio::detached);
        }
        co_await pause(m_own.pollInterval);
    }
}

asio::awaitable<void> control::fetchLoad(endpoint_ptr from)
{
    const std::optional<load_report> report = co_await fetchLoadReport(m_client, from, systemNow() + callWithin);
    if (report) {
        m_fleet.onLoadReport(*report);
    }
}

void control::onOutcome(const attempt_outcome &outcome)
{
    asio::post(m_context, [this, outcome] { m_fleet.onOutcome(outcome, systemNow()); });
}

asio::awaitable<void> control::tick()
{
    while (true) {
        co_await pause(tickInterval);
        m_fleet.onProbeTime(systemNow());
        if (m_fleet.isDirty()) {
            publish();
        }
        for (const std::string &service : m_host.slots.servicesWaiting()) {
            m_host.serve(service, m_random);
        }
    }
}

// ---- Publishing ------------------------------------------------------------------------------------------------------------------------

void control::publish()
{
    m_host.slots.publish(m_fleet.buildTable());
    for (const std::string &service : m_host.slots.servicesWaiting()) {
        m_host.serve(service, m_random);
    }
}

void control::publishFront()
{
    auto table = std::make_shared<front_table>();
    table->inForce = m_configuration.inForce();
    for (const client_account &account : table->inForce->content.accounts) {
        auto &load = m_accounts[account.name];
        if (load == nullptr) {
            load = std::make_shared<account_load>();
        }
        load->limit = account.maxInFlight;
        for (const std::string &hash : account.tokenHashes) {
            table->accounts[hash] = {account, load};
        }
    }
    m_front.front.publish(std::move(table));
}

std::string control::statusJson()
{
    return asio::co_spawn(
        m_context, [this]() -> asio::awaitable<std::string> { co_return composeStatus(); }, asio::use_future)
        .get();
}

std::string control::composeStatus() const
{
    json endpoints = json::array();
    for (const endpoint_status &status : m_fleet.status()) {
        const endpoint &known = *status.known;
        endpoints.push_back({{"id", known.id}, {"service", known.service}, {"version", known.version}, {"failure_domain", known.failureDomain},
            {"use", toText(known.use)}, {"limit", status.limit}, {"slots", known.load->slots.load()}, {"in_flight", known.load->inFlight.load()}});
    }
    const json status
        = {{"instance", m_own.instance}, {"failure_domain", m_own.failureDomain}, {"revision", m_configuration.inForce()->revision}, {"endpoints", endpoints}};
    return status.dump();
}

} // namespace chicoryrouter
