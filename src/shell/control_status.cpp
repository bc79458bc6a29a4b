// A daemon's status for operators, the log and the metrics: members, version moves, failure domains, and endpoints with the reason why each one is
// used or not.
#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/control.h"
#include "shell/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

constexpr duration gaugeInterval = 1s;

json membersJson(const membership &members)
{
    json list = json::array();
    for (const member_info &item : members.allMembers()) {
        list.push_back({{"instance", item.instance}, {"failure_domain", item.failureDomain}, {"state", toText(item.state)}});
    }
    return list;
}

json movesJson(const cluster_state &agreed)
{
    json list = json::array();
    for (const auto &[service, mover] : agreed.moves()) {
        list.push_back({{"service", service}, {"from", mover.spec().from}, {"to", mover.spec().to}, {"state", toText(mover.state())}, {"share", mover.share()},
            {"done_by", formatTimestamp(mover.spec().doneBy)}, {"reason", mover.reason()}});
    }
    return list;
}

json domainsJson(const document &content)
{
    json list = json::array();
    for (const failure_domain &item : content.failureDomains) {
        list.push_back({{"name", item.name}, {"region", item.region}, {"out", item.disabled}});
    }
    return list;
}

json endpointsJson(const fleet &endpoints)
{
    json list = json::array();
    for (const endpoint_status &status : endpoints.status()) {
        const endpoint &known = *status.info;
        list.push_back({{"id", known.id}, {"service", known.service}, {"version", known.version}, {"failure_domain", known.failureDomain},
            {"use", toText(known.use)}, {"limit", status.limit}, {"slots", known.load->slots.load()}, {"in_flight", known.load->inFlight.load()}});
    }
    return list;
}

std::string refusedFromText(const overload_state &state)
{
    return state.refusedFrom ? std::string(toText(*state.refusedFrom)) : "none";
}

// The values of all ranks, the most urgent first, separated by slashes.
template<typename T, typename Value>
std::string byRank(const std::array<T, rankCount> &values, Value value)
{
    std::string text;
    for (const T &item : values) {
        text += (text.empty() ? "" : "/") + std::to_string(value(item));
    }
    return text;
}

std::string predictedText(const overload_state &state)
{
    return byRank(state.predicted, inMilliseconds);
}

std::string refusedText(const overload_state &state)
{
    return byRank(state.refusedPermille, [](std::uint32_t value) { return value; });
}

json overloadJson(const overload_control &control)
{
    json list = json::array();
    for (const overload_state &state : control.states()) {
        list.push_back({{"service", state.service}, {"overloaded", state.overloaded}, {"refused_from", refusedFromText(state)},
            {"predicted_ms", predictedText(state)}, {"refused_permille", refusedText(state)}, {"load_permille", state.takenPermille}});
    }
    return list;
}

} // namespace

std::string control::composeStatus() const
{
    const auto inForce = m_clusterState.documents().current();
    const json status = {{"instance", m_settings.instance}, {"failure_domain", m_settings.failureDomain},
        {"ready", !m_gateway.stopping && inForce->revision > 0}, {"revision", inForce->revision}, {"last_fault", m_clusterState.documents().lastFault()},
        {"open_requests", m_host.openCount()}, {"copies_held", m_copies.heldCopyCount()}, {"members", membersJson(m_clusterState.members())},
        {"moves", movesJson(m_clusterState)}, {"failure_domains", domainsJson(inForce->content)}, {"placement", json::parse(m_placement.statusJson())},
        {"overload", overloadJson(m_host.overload)}, {"endpoints", endpointsJson(m_fleet)}};
    return status.dump();
}

std::string control::statusJson()
{
    return asio::co_spawn(
        m_context, [this]() -> asio::awaitable<std::string> { co_return composeStatus(); }, asio::use_future)
        .get();
}

// ---- Log and metrics --------------------------------------------------------------------------------------------------------------------

// Logs a line for each endpoint whose use changed, with the figures that led to it, up to the bound of use_changes.
void control::logEndpointUses()
{
    logUseSummaries();
    const time_point now = systemNow();
    std::map<std::string, logged_use> uses;
    for (const endpoint_ptr &item : m_fleet.endpoints()) {
        const auto before = m_loggedUses.find(item->id);
        const bool isNew = before == m_loggedUses.end();
        if (isNew || before->second.use != item->use) {
            logEndpointUse(*item, isNew ? "unknown" : toText(before->second.use), now);
        }
        uses[item->id] = {item, item->use};
    }
    for (const auto &[id, last] : m_loggedUses) {
        if (uses.count(id) == 0 && m_useChanges.add({last.item->service, last.item->failureDomain, std::string(toText(last.use)), "forgotten"}, now)) {
            logEvent(log_event::EndpointUse, {{"endpoint", id}, {"use", "forgotten"}, {"before", toText(last.use)}});
        }
    }
    m_loggedUses = std::move(uses);
}

// Logs what changed in the overload of services.
void control::logOverload()
{
    m_host.overload.expire(systemNow());
    for (const overload_change &change : m_host.overload.takeChanges()) {
        const overload_state &state = change.state;
        logEvent(log_event::OverloadChanged,
            {{"service", state.service}, {"change", toText(change.step)}, {"refused_from", refusedFromText(state)}, {"predicted_ms", predictedText(state)},
                {"refused_permille", refusedText(state)}, {"load_permille", state.takenPermille}});
    }
}

void control::logEndpointUse(const endpoint &item, std::string_view before, time_point now)
{
    if (m_useChanges.add({item.service, item.failureDomain, std::string(before), std::string(toText(item.use))}, now)) {
        const endpoint_load &load = *item.load;
        logEvent(log_event::EndpointUse,
            {{"endpoint", item.id}, {"service", item.service}, {"version", item.version}, {"failure_domain", item.failureDomain}, {"use", toText(item.use)},
                {"before", before}, {"slots", load.slots.load()}, {"open_here", load.inFlight.load()}, {"first_token_us", load.firstTokenMicros.load()}});
    }
}

void control::logUseSummaries()
{
    for (const use_summary &item : m_useChanges.takeDue(systemNow())) {
        const use_change &change = item.change;
        logEvent(log_event::EndpointUses,
            {{"service", change.service}, {"failure_domain", change.failureDomain}, {"use", change.use}, {"before", change.before}, {"count", item.count}});
    }
}

// Sets the gauges once a second from this daemon's current view.
void control::updateGauges()
{
    const time_point now = systemNow();
    if (now < m_gaugesUpdatedAt + gaugeInterval) {
        return;
    }
    m_gaugesUpdatedAt = now;
    logOverload();
    logUseSummaries();
    metrics &counts = m_host.counts;
    const auto inForce = m_clusterState.documents().current();
    counts.setGauge("document_revision", static_cast<double>(inForce->revision));
    counts.setGauge("document_age_seconds", std::chrono::duration<double>(now - m_documentAppliedAt).count());
    counts.setGauge("members_living", static_cast<double>(m_clusterState.members().liveMembers().size()));
    counts.setGauge("resident_bytes", residentBytes());
    counts.setGauge("unread_bytes", static_cast<double>(m_host.unreadBytes->held()));
    counts.setGauge("kept_answer_bytes", static_cast<double>(m_host.keptBytes->held()));
    counts.setGauge("unread_pauses_total", static_cast<double>(m_host.unreadBytes->refusals()));
    counts.setGauge("unread_request_bytes", static_cast<double>(m_host.requestBytes->held()));
    counts.setGauge("request_room_refusals_total", static_cast<double>(m_host.requestBytes->refusals()));
    counts.setGauge("open_requests", static_cast<double>(m_host.openCount()));
    counts.setGauge("log_lines_dropped_total", static_cast<double>(droppedLogLines()));
    counts.setGauge("log_lines_left_out_total", static_cast<double>(suppressedLogLines()));
    counts.setGauge("prompt_parts_quarantined", static_cast<double>(m_quarantine.quarantined().size()));
    counts.setGauge("prompt_parts_suspected", static_cast<double>(m_quarantine.suspectCount()));
    counts.setGauge("accounts_silent_peers", static_cast<double>(m_spending.silentCount(now)));
    const load_exchange_counts &told = m_loadExchange.counts();
    counts.setGauge("load_tellers", static_cast<double>(m_loadExchange.tellerCount()));
    counts.setGauge("load_messages_total{result=\"accepted\"}", static_cast<double>(told.accepted));
    counts.setGauge("load_messages_total{result=\"malformed\"}", static_cast<double>(told.malformed));
    counts.setGauge("load_messages_total{result=\"late\"}", static_cast<double>(told.late));
    counts.setGauge("load_messages_total{result=\"refused\"}", static_cast<double>(told.refused));
    std::map<std::pair<std::string, endpoint_use>, int> uses;
    for (const endpoint_ptr &item : m_fleet.endpoints()) {
        ++uses[{item->service, item->use}];
    }
    std::string text;
    for (const auto &[key, number] : uses) {
        text += "chicoryrouter_endpoints{service=\"" + key.first + "\",use=\"" + std::string(toText(key.second)) + "\"} " + std::to_string(number) + "\n";
    }
    for (const service &item : inForce->content.services) {
        const std::string label = "{service=\"" + item.name + "\"} ";
        text += "chicoryrouter_waiting" + label + std::to_string(m_host.slots.waiting(item.name)) + "\n";
        text += "chicoryrouter_retries_left" + label + std::to_string(m_host.budgetOf(item.name).available()) + "\n";
    }
    for (const auto &[name, mover] : m_clusterState.moves()) {
        text += "chicoryrouter_move_share{service=\"" + name + "\",to=\"" + mover.spec().to + "\",state=\"" + std::string(toText(mover.state())) + "\"} "
            + std::to_string(mover.share()) + "\n";
    }
    counts.setGauges("beliefs", text);
    if (m_hooks.updateGauges) {
        m_hooks.updateGauges(counts);
    }
}

} // namespace chicoryrouter
