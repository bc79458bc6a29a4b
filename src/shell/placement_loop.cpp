// The loop runs one planning step per service each second.
#include "shell/placement_loop.h"

#include "shell/clock.h"
#include "shell/log.h"
#include "shell/request_session.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

constexpr duration planInterval = 1s;
constexpr duration callTimeout = 2s;

std::string describe(const placement_plan &plan)
{
    std::string text;
    for (const placement_share &item : plan.shares) {
        text += " " + std::to_string(item.count) + " " + std::string(toText(item.cls)) + " in " + item.failureDomain + ",";
    }
    return "plan:" + text + " at " + std::to_string(plan.perHour) + " an hour"
        + (plan.survivesDomainLoss ? "" : "; it does not survive the loss of a failure domain");
}

bool samePlan(const placement_plan &a, const placement_plan &b)
{
    return a.shares == b.shares;
}

} // namespace

placement_loop::placement_loop(const settings &daemonSettings, asio::io_context &context, http_client &client, store_client &store)
    : m_settings(daemonSettings)
    , m_context(context)
    , m_client(client)
    , m_store(store)
{
}

void placement_loop::onInstances(const instance_list &list)
{
    m_instances = list;
}

void placement_loop::releaseLeases()
{
    for (auto &[service, state] : m_services) {
        state.serviceLease.release();
    }
}

asio::awaitable<void> placement_loop::run(cluster_state &clusterState, fleet &endpoints, request_host &host)
{
    while (true) {
        asio::steady_timer timer(m_context, planInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const auto inForce = clusterState.documents().current();
        for (const placement_bounds &bounds : inForce->content.placement) {
            const bool isCandidate = clusterState.members().isSelectedFor("lease-" + bounds.service, 1);
            service_state &state = m_services.try_emplace(bounds.service, bounds.service, m_settings.instance).first->second;
            if (!isCandidate && !state.serviceLease.isHeld(systemNow())) {
                continue;
            }
            co_await updateLease(state, bounds.service);
            if (!state.serviceLease.mayIssueOrders(systemNow())) {
                continue;
            }
            const bool loaded = co_await loadRecords(state, bounds.service);
            if (!loaded) {
                continue;
            }
            const placement_plan plan = computePlan(state, clusterState, endpoints, host, bounds);
            if (!samePlan(plan, state.plan)) {
                logEvent(log_event::PlanChanged, {{"service", bounds.service}, {"plan", describe(plan)}});
            }
            state.plan = plan;
            const std::string version = inForce->content.findService(bounds.service)->currentVersion;
            const placement_step step
                = state.controller.next(plan, runningEndpoints(bounds.service, version), version, state.serviceLease.fencing(), systemNow());
            if (step.action != placement_step::kind::None) {
                co_await executeStep(state, bounds.service, step);
            }
        }
    }
}

asio::awaitable<void> placement_loop::updateLease(service_state &state, std::string service)
{
    const std::string key = leaseKey(service);
    const bool heldBefore = state.serviceLease.isHeld(systemNow());
    lease::step step = state.serviceLease.onTick(systemNow());
    if (step == lease::step::Read) {
        const store_reply reply = co_await m_store.get(key, systemNow() + callTimeout);
        step = state.serviceLease.onRead(reply, systemNow());
    }
    if (step == lease::step::Swap) {
        const store_reply reply = co_await m_store.compareAndSwap(
            key, state.serviceLease.expectedVersion(), state.serviceLease.pendingValue(), duration{}, systemNow() + callTimeout);
        state.serviceLease.onSwapped(reply, systemNow());
    }
    const bool heldNow = state.serviceLease.isHeld(systemNow());
    if (heldNow != heldBefore) {
        logEvent(log_event::LeaseChanged, {{"service", service}, {"held", heldNow}, {"fencing", state.serviceLease.fencing()}});
    }
}

asio::awaitable<bool> placement_loop::loadRecords(service_state &state, std::string service)
{
    if (state.recordsTerm == state.serviceLease.fencing()) {
        co_return true;
    }
    const store_reply reply = co_await m_store.get(startsKey(service), systemNow() + callTimeout);
    if (reply.outcome != store_outcome::Ok && reply.outcome != store_outcome::NotFound) {
        co_return false;
    }
    state.recordsVersion = reply.version;
    state.controller.load(reply.outcome == store_outcome::Ok ? decodeStarts(reply.value).value_or(std::vector<start_record>{}) : std::vector<start_record>{});
    state.recordsTerm = state.serviceLease.fencing();
    co_return true;
}

asio::awaitable<bool> placement_loop::storeRecords(service_state &state, std::string service)
{
    const std::string text = encodeStarts(state.controller.records());
    const std::string key = startsKey(service);
    store_reply reply = co_await m_store.compareAndSwap(key, state.recordsVersion, text, duration{}, systemNow() + callTimeout);
    if (reply.outcome == store_outcome::Unavailable) {
        reply = co_await m_store.get(key, systemNow() + callTimeout);
        if (reply.outcome == store_outcome::Ok && reply.value != text) {
            state.recordsVersion = reply.version; // the write did not take effect; the next step repeats it
            co_return false;
        }
    }
    if (reply.outcome == store_outcome::Conflict) {
        state.recordsTerm = 0; // another lease holder has written: read the records again first
    }
    if (reply.outcome != store_outcome::Ok) {
        co_return false;
    }
    state.recordsVersion = reply.version;
    co_return true;
}

placement_plan placement_loop::computePlan(
    service_state &state, const cluster_state &clusterState, const fleet &endpoints, const request_host &host, const placement_bounds &bounds)
{
    const document &content = clusterState.documents().current()->content;
    const service *placedService = content.findService(bounds.service);
    double openRequests = 0.0;
    for (const endpoint_status &status : endpoints.status()) {
        openRequests += status.info->service == bounds.service ? status.report.running + status.report.queued : 0;
    }
    // The fraction of prompt requests (all but priority Long) is estimated from this daemon's own requests, since the load balancer spreads requests
    // evenly.
    double localPromptRequests = 0.0;
    double localRequests = 0.0;
    for (const auto &session : host.openSessions()) {
        if (session->facts().route.service == bounds.service) {
            localRequests += 1.0;
            localPromptRequests += session->facts().route.rank == priority::Long ? 0.0 : 1.0;
        }
    }
    const double promptFraction = localRequests > 0.0 ? localPromptRequests / localRequests : 1.0;
    const std::uint32_t concurrency = placedService->versions.front().maxConcurrency;
    placement_demand demand;
    demand.minEndpoints = bounds.minEndpoints;
    demand.maxEndpoints = bounds.maxEndpoints;
    demand.endpoints = state.demand.observe(endpointsFor(openRequests, concurrency), systemNow());
    demand.promptEndpoints = std::min(state.promptDemand.observe(endpointsFor(openRequests * promptFraction, concurrency), systemNow()), bounds.maxEndpoints);
    std::vector<placement_offer> offers;
    for (const instance_price &price : content.prices) {
        const failure_domain *domain = content.findFailureDomain(price.failureDomain);
        const bool usable = domain != nullptr && !domain->disabled && !state.controller.isBackingOff(price.failureDomain, price.cls, systemNow());
        if (usable) {
            offers.push_back({price.failureDomain, price.cls, price.perHour});
        }
    }
    return planPlacement(demand, offers);
}

std::vector<running_endpoint> placement_loop::runningEndpoints(const std::string &service, const std::string &version) const
{
    std::vector<running_endpoint> running;
    for (const instance_record &item : m_instances.endpoints) {
        if (item.service == service && item.version == version) {
            running.push_back({item.id, item.failureDomain, item.cls, item.version, item.startToken, item.leaving});
        }
    }
    return running;
}

asio::awaitable<void> placement_loop::executeStep(service_state &state, std::string service, placement_step step)
{
    if (step.action == placement_step::kind::Record) {
        const bool stored = co_await storeRecords(state, service);
        state.controller.onRecorded(stored);
        co_return;
    }
    http_call call;
    call.method = "POST";
    if (step.action == placement_step::kind::Stop) {
        logEvent(log_event::EndpointStop, {{"service", service}, {"endpoint", step.stopId}, {"why", step.reason}});
        call.target = "/cloud/stop?id=" + step.stopId;
    } else {
        const std::string cls(toText(step.start.cls));
        logEvent(log_event::EndpointStart,
            {{"service", service}, {"token", step.start.token}, {"class", cls}, {"failure_domain", step.start.failureDomain}, {"why", step.reason}});
        call.target = "/cloud/start";
        call.body = json({{"token", step.start.token}, {"service", service}, {"version", step.start.version}, {"class", cls},
                             {"failure_domain", step.start.failureDomain}, {"fencing", state.serviceLease.fencing()}})
                        .dump();
    }
    bool answered = false;
    bool accepted = false;
    try {
        const http_response response = co_await m_client.call(m_settings.cloud, std::move(call), systemNow() + callTimeout, maxShortAnswerBytes);
        answered = true;
        accepted = response.status == 200;
    } catch (const http_failure &) {
        answered = false;
    }
    if (step.action == placement_step::kind::Start) {
        state.controller.onStarted(step.start.token, accepted, answered, systemNow());
        if (answered && !accepted) {
            logEvent(log_event::EndpointStartRefused, {{"service", service}, {"failure_domain", step.start.failureDomain}});
        }
    }
}

std::string placement_loop::statusJson() const
{
    json list = json::array();
    for (const auto &[service, state] : m_services) {
        list.push_back({{"service", service}, {"holder", state.serviceLease.holder()}, {"held_here", state.serviceLease.isHeld(systemNow())},
            {"planned", state.plan.total()}, {"per_hour", state.plan.perHour}, {"bears_loss", state.plan.survivesDomainLoss},
            {"starts_open", state.controller.records().size()}});
    }
    return list.dump();
}

} // namespace chicoryrouter
