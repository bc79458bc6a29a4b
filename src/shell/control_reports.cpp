// The control strand's exchange of UDP datagrams with other daemons: spending reports (tokens spent by account, started requests by window, load
// by service), evidence about versions under trial, reports on prompts that crash endpoints and on endpoints that leave, and the endpoints' load.
#include "chicoryrouter/hash.h"
#include "shell/clock.h"
#include "shell/control.h"
#include "shell/log.h"

#include <cmath>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr duration loadHalfLife = 700ms;         // of the moving average of open requests
constexpr std::uint64_t reportedPastWindows = 2; // usage windows before the current one that are included in each report
constexpr duration usageReportDelay = 200ms;     // this long after a window's end, its final counts are in the reports being sent
constexpr duration datagramInterval = 100ms;     // between two spending reports; longer when there are many members
constexpr duration minIntervalPerMember = 5ms;   // times the member count: a daemon receives at most 200 reports a second, however many members there are
constexpr duration demandInterval = 5s;

// Gives each daemon its own phase in the interval, derived from its name. If all daemons reported at the same moment, all would act on outdated
// figures until the next report.
time_point nextSendTime(time_point now, duration interval, std::string_view name)
{
    const duration phase(static_cast<std::int64_t>(hashBytes(name) % static_cast<std::uint64_t>(interval.count())));
    const duration elapsed = (now.time_since_epoch() - phase) % interval;
    return now + interval - elapsed;
}

} // namespace

void control::refreshAccounts()
{
    for (const client_account &account : m_clusterState.documents().current()->content.accounts) {
        const auto found = m_accounts.find(account.name);
        if (found != m_accounts.end()) {
            found->second->limit = m_clusterState.accountLimitShare(account);
        }
    }
}

void control::refillAccounts()
{
    const time_point now = systemNow();
    const time_point refillTime
        = bootTimeNow(); // includes suspension: tokens accrue while this machine is suspended, and the peers' reports say what they spent of them
    const duration elapsed = m_refilledAt == time_point{} ? duration{} : refillTime - m_refilledAt;
    m_refilledAt = refillTime;
    for (const client_account &account : m_clusterState.documents().current()->content.accounts) {
        const auto found = m_accounts.find(account.name);
        if (found == m_accounts.end()) {
            continue;
        }
        if (account.tokensPerSecond <= 0.0) {
            found->second->tokensLimited = false;
            m_accountWindows.erase(account.name);
            continue;
        }
        if (m_settings.accountWindow > duration{}) {
            found->second->ranked = m_host.loadControl.isOn();
            account_window &window = m_accountWindows.try_emplace(account.name, m_settings.accountWindow, refillTime).first->second;
            window.refill(*found->second, account, m_spending, now, refillTime);
            continue;
        }
        const double remoteSpending = m_spending.drainRemoteSpending(account.name, account.tokensPerSecond, now);
        const double unreportedSpending = m_spending.unreportedRemoteSpending(account.name, now);
        const auto rate = static_cast<std::int64_t>(account.tokensPerSecond);
        found->second->refill(rate, static_cast<std::int64_t>(account.tokenBurst), elapsed, static_cast<std::int64_t>(remoteSpending),
            static_cast<std::int64_t>(unreportedSpending));
    }
}

void control::onRequestStarted(const std::string &account)
{
    if (account.empty()) {
        return; // a route without authentication: no account is charged
    }
    const std::lock_guard guard(m_outcomesLock);
    m_startedRequests.emplace_back(account, systemNow());
}

void control::countStartedRequests()
{
    std::vector<std::pair<std::string, time_point>> pending;
    {
        const std::lock_guard guard(m_outcomesLock);
        pending.swap(m_startedRequests);
    }
    for (const auto &[account, when] : pending) {
        m_usage.count(account, when);
    }
}

usage_counts control::usageOf(std::uint64_t window, bool &complete) const
{
    usage_counts sum = m_spending.remoteStartedRequests(window);
    for (const auto &[account, number] : m_usage.countsOf(window)) {
        sum[account] += number;
    }
    complete = m_spending.heardFromAllSince(m_usage.endOf(window) + usageReportDelay);
    return sum;
}

// Updates the exponential moving average of this daemon's open requests by service.
void control::measureLoad()
{
    const time_point now = systemNow();
    const double weight = 1.0 - std::exp2(-std::chrono::duration<double>(now - m_loadsUpdatedAt) / std::chrono::duration<double>(loadHalfLife));
    m_loadsUpdatedAt = now;
    std::map<std::string, service_load> currentLoads;
    for (const endpoint_ptr &item : m_fleet.endpoints()) {
        service_load &sum = currentLoads[item->service];
        sum.open += item->load->inFlight;
        sum.awaitingFirstToken += item->load->awaitingAnswer;
    }
    for (const auto &[service, load] : currentLoads) {
        service_load &average = m_localLoads[service];
        average.open += weight * (load.open - average.open);
        average.awaitingFirstToken += weight * (load.awaitingFirstToken - average.awaitingFirstToken);
    }
}

service_load control::loadOf(const std::string &service) const
{
    service_load sum = m_spending.remoteLoad(service, systemNow());
    const auto localLoad = m_localLoads.find(service);
    if (localLoad != m_localLoads.end()) {
        sum.open += localLoad->second.open;
        sum.awaitingFirstToken += localLoad->second.awaitingFirstToken;
    }
    return sum;
}

// Sends the spending report, the evidence and the reports on prompts and leaving endpoints to all live members when they are due. The interval grows with the
// number of members, so that the number of datagrams that a daemon receives per second stays bounded.
void control::sendDatagrams()
{
    const time_point now = systemNow();
    if (m_datagramLink == nullptr || now < m_nextDatagramAt) {
        return;
    }
    std::vector<std::string> names;
    std::vector<address> peers;
    for (const member_info &item : m_clusterState.members().liveMembers()) {
        names.push_back(item.instance);
        if (item.instance != m_settings.instance) {
            peers.push_back(item.peer);
        }
    }
    m_spending.setMembers(names, now);
    m_nextDatagramAt
        = nextSendTime(now, std::max<duration>(datagramInterval, minIntervalPerMember * static_cast<std::int64_t>(names.size())), m_settings.instance);
    sendSpendingReport(peers, now);
    for (const std::string &bytes : m_clusterState.evidenceDatagrams(maxSpendingBytes)) {
        m_datagramLink->send(peers, datagram_kind::Evidence, bytes);
    }
    for (const std::string &bytes : m_quarantine.datagrams(maxSpendingBytes, bootTimeNow())) {
        m_datagramLink->send(peers, datagram_kind::Quarantine, bytes);
    }
    for (const std::string &bytes : m_departures.datagrams(maxSpendingBytes, bootTimeNow())) {
        m_datagramLink->send(peers, datagram_kind::Departures, bytes);
    }
}

// What the others told counts also while load control is off here: the pace that they heard is what switches it on.
void control::exchangeLoad()
{
    const time_point now = systemNow();
    m_loadExchange.apply(m_fleet.endpoints(), now);
    m_host.loadKnownAt.store(m_loadExchange.knownAt(), std::memory_order_relaxed);
    if (m_loadExchange.heardPace()) {
        m_host.loadControl.onStatedPace();
    }
    if (m_datagramLink == nullptr || !m_host.loadControl.isOn() || now < m_nextLoadAt) {
        return;
    }
    std::vector<address> peers;
    for (const member_info &item : m_clusterState.members().liveMembers()) {
        if (item.instance != m_settings.instance && item.failureDomain == m_settings.failureDomain) {
            peers.push_back(item.peer);
        }
    }
    m_loadExchange.setPeers(peers.size(), m_datagramLink->frameBytes());
    m_nextLoadAt = nextSendTime(now, m_loadExchange.interval(), m_settings.instance);
    m_datagramLink->send(peers, datagram_kind::Load, m_loadExchange.datagram(m_fleet.endpoints(), now));
}

void control::receiveDatagram(datagram_kind kind, std::string_view bytes)
{
    switch (kind) {
    case datagram_kind::Spending:
        if (const std::optional<spending_report> report = decodeSpending(bytes)) {
            m_spending.receive(*report, systemNow());
        }
        break;
    case datagram_kind::Evidence:
        m_clusterState.receiveEvidenceDatagram(bytes);
        break;
    case datagram_kind::Quarantine:
        m_quarantine.receive(bytes, bootTimeNow());
        break;
    case datagram_kind::Departures:
        receiveDepartures(bytes);
        break;
    case datagram_kind::Load:
        m_loadExchange.receive(bytes, systemNow());
        break;
    }
}

void control::sendSpendingReport(const std::vector<address> &peers, time_point now)
{
    spending_report report;
    report.from = m_settings.instance;
    report.start = m_processStart;
    report.sequence = ++m_datagramSequence;
    for (const auto &[name, load] : m_accounts) {
        report.spent[name] = load->tokensSpent;
    }
    report.loads = m_localLoads;
    const std::uint64_t currentWindow = m_usage.windowAt(now);
    for (std::uint64_t window = currentWindow - std::min(currentWindow, reportedPastWindows); window <= currentWindow; ++window) {
        if (usage_counts counts = m_usage.countsOf(window); !counts.empty()) {
            report.startedRequests[window] = std::move(counts);
        }
    }
    for (const auto &[name, window] : m_accountWindows) {
        report.recent[name] = window.recent();
        if (const rank_rates *asked = window.askedToTell()) {
            report.asked[name] = *asked;
        }
    }
    std::string bytes = encodeSpending(report);
    if (bytes.size() > maxSpendingBytes) {
        report.recent.clear(); // the totals matter more
        bytes = encodeSpending(report);
    }
    if (bytes.size() > maxSpendingBytes) {
        report.asked.clear(); // the others then go by what is spent
        bytes = encodeSpending(report);
    }
    if (bytes.size() <= maxSpendingBytes) {
        m_datagramLink->send(peers, datagram_kind::Spending, bytes);
    } else {
        logEvent(log_event::AccountsNotTold, {{"accounts", report.spent.size()}});
    }
}

void control::measureDemand()
{
    const time_point now = systemNow();
    if (now < m_demandMeasuredAt + demandInterval) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_demandMeasuredAt).count();
    std::vector<account_demand> demand;
    for (const auto &[name, load] : m_accounts) {
        const std::uint64_t totalDemand = load->demand;
        std::uint64_t &previousDemand = m_previousDemand[name];
        const double perSecond = static_cast<double>(totalDemand - previousDemand) / seconds;
        if (m_demandMeasuredAt != time_point{} && perSecond > 0.0) {
            demand.push_back({name, perSecond});
        }
        previousDemand = totalDemand;
    }
    m_demandMeasuredAt = now;
    m_clusterState.setDemand(std::move(demand));
    refreshAccounts();
}

} // namespace chicoryrouter
