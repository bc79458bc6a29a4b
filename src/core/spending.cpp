// Encodes spending reports, tracks the totals of other daemons, and estimates those of silent ones.
#include "chicoryrouter/spending.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration silentAfter = 700ms;         // several reports in a row are missing
constexpr duration silentAfterPerMember = 30ms; // reports are sent less often in a large deployment
constexpr double mostAsked = 1e12;              // tokens per second that a report may state
constexpr duration lateReportAge = 5s;          // no report arrives so late: one of an earlier start is then a restart after the clock was set back
constexpr duration removeAfter = 20s;           // neither heard from nor in the member list for that long: it no longer serves requests

} // namespace

std::string encodeSpending(const spending_report &report)
{
    json loads = json::object();
    for (const auto &[service, load] : report.loads) {
        loads[service] = {static_cast<float>(load.open), static_cast<float>(load.awaitingFirstToken)};
    }
    json recent = json::array(); // in the order of `spent`
    for (const auto &[account, total] : report.spent) {
        const auto found = report.recent.find(account);
        recent.push_back(found == report.recent.end() ? 0 : found->second);
    }
    json content = {{"recent", report.recent.empty() ? json::array() : recent}, {"from", report.from}, {"start", report.start}, {"seq", report.sequence},
        {"spent", report.spent}, {"loads", loads}, {"began", report.startedRequests}};
    for (const auto &[account, rates] : report.asked) {
        for (const double rate : rates) {
            content["asked"][account].push_back(static_cast<std::uint64_t>(std::clamp(rate, 0.0, mostAsked)));
        }
    }
    const auto packed = json::to_msgpack(content);
    return {packed.begin(), packed.end()};
}

std::optional<spending_report> decodeSpending(std::string_view bytes)
{
    if (bytes.size() > maxSpendingBytes) {
        return std::nullopt;
    }
    try {
        const json value = json::from_msgpack(bytes);
        spending_report report{value.at("from"), value.at("start"), value.at("seq"), value.at("spent").get<account_tokens>(), {}, {}, {}, {}};
        report.startedRequests = value.at("began").get<std::map<std::uint64_t, usage_counts>>();
        const json recent = value.value("recent", json::array()); // missing in reports of former versions
        auto account = report.spent.begin();
        for (std::size_t i = 0; i < recent.size() && account != report.spent.end(); ++i, ++account) {
            report.recent[account->first] = recent.at(i).get<std::uint64_t>();
        }
        for (const auto &[service, load] : value.at("loads").items()) {
            report.loads[service] = {load.at(0), load.at(1)};
        }
        const json asked = value.value("asked", json::object()); // missing where no account is near a limit that is shared by rank
        for (const auto &[name, rates] : asked.items()) {
            for (std::size_t rank = 0; rank < accountRanks; ++rank) {
                report.asked[name].at(rank) = std::min(static_cast<double>(rates.at(rank).get<std::uint64_t>()), mostAsked);
            }
        }
        return report;
    } catch (const json::exception &) {
        return std::nullopt; // not a spending report, or truncated; the next report repeats the totals
    }
}

spending_tracker::spending_tracker(std::string self)
    : m_self(std::move(self))
{
}

void spending_tracker::setMembers(const std::vector<std::string> &names, time_point now)
{
    m_silentAfter = std::max<duration>(silentAfter, silentAfterPerMember * static_cast<std::int64_t>(names.size()));
    for (const std::string &name : names) {
        if (name != m_self) {
            m_peers[name].presentAt = now;
        }
    }
    std::erase_if(m_peers, [&](const auto &item) { return now > std::max(item.second.presentAt, item.second.heardAt) + removeAfter; });
}

void spending_tracker::receive(const spending_report &report, time_point now)
{
    if (report.from == m_self) {
        return;
    }
    peer &from = m_peers[report.from];
    const bool firstReport = from.start == 0; // what it spent before this daemon first heard from it isn't counted
    const bool restarted = report.start != from.start;
    if (!restarted && report.sequence <= from.sequence) {
        return;
    }
    if (restarted && report.start < from.start && now < from.heardAt + lateReportAge) {
        return; // from a process before the known restart
    }
    from.interval = now - from.heardAt;
    const double elapsed = std::chrono::duration<double>(from.interval).count();
    const bool consecutive = !firstReport && !restarted && elapsed > 0.0 && !isSilent(from, now);
    from.rates.clear();
    for (const auto &[account, total] : report.spent) {
        const auto before = from.totals.find(account);
        const bool first = restarted || before == from.totals.end();
        const std::uint64_t known = first ? 0 : std::min(before->second, total);
        m_undrained[account] += firstReport ? 0 : total - known;
        if (consecutive && total > known) {
            from.rates[account] = static_cast<double>(total - known) / elapsed;
        }
    }
    if (restarted) {
        from.totals.clear();
    }
    for (const auto &[account, tokens] : report.recent) {
        m_earlier[account] += firstReport ? tokens : 0;
    }
    for (const auto &[account, total] : report.spent) {
        from.totals[account] = total;
    }
    from.loads = report.loads;
    from.asked = report.asked;
    usage_ledger &ledger = m_startedRequests.try_emplace({report.from, report.start}, std::chrono::seconds(1)).first->second;
    for (const auto &[window, counts] : report.startedRequests) {
        ledger.replace(window, counts);
    }
    from.start = report.start;
    from.sequence = report.sequence;
    from.heardAt = now;
}

bool spending_tracker::isSilent(const peer &item, time_point now) const
{
    return now > item.heardAt + m_silentAfter;
}

std::size_t spending_tracker::silentCount(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &item) { return isSilent(item.second, now); }));
}

time_point spending_tracker::silentSince(time_point now) const
{
    time_point since = now;
    for (const auto &[name, item] : m_peers) {
        since = isSilent(item, now) ? std::min(since, item.heardAt) : since;
    }
    return since;
}

double spending_tracker::reachableShare(time_point now) const
{
    return 1.0 - static_cast<double>(silentCount(now)) / static_cast<double>(m_peers.size() + 1);
}

usage_counts spending_tracker::remoteStartedRequests(std::uint64_t window) const
{
    usage_counts sum;
    for (const auto &[origin, ledger] : m_startedRequests) {
        for (const auto &[account, number] : ledger.countsOf(window)) {
            sum[account] += number;
        }
    }
    return sum;
}

bool spending_tracker::heardFromAllSince(time_point moment) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &item) { return item.second.heardAt > moment; });
}

service_load spending_tracker::remoteLoad(const std::string &service, time_point now) const
{
    service_load sum;
    for (const auto &[name, item] : m_peers) {
        const auto found = item.loads.find(service);
        if (found != item.loads.end() && !isSilent(item, now)) {
            sum.open += found->second.open;
            sum.awaitingFirstToken += found->second.awaitingFirstToken;
        }
    }
    return sum;
}

double spending_tracker::unreportedRemoteSpending(const std::string &account, time_point now) const
{
    double sum = 0.0;
    for (const auto &[name, item] : m_peers) {
        const auto found = item.rates.find(account);
        if (found != item.rates.end() && !isSilent(item, now)) {
            sum += found->second * std::chrono::duration<double>(item.interval).count();
        }
    }
    return sum;
}

remote_demand spending_tracker::remoteDemand(const std::string &account, time_point now) const
{
    remote_demand sum;
    for (const auto &[name, item] : m_peers) {
        if (isSilent(item, now)) {
            continue;
        }
        const auto spent = item.rates.find(account);
        const double rate = spent == item.rates.end() ? 0.0 : spent->second;
        sum.spentSince += rate * std::max(std::chrono::duration<double>(now - item.heardAt).count(), 0.0);
        const auto asked = item.asked.find(account);
        if (asked == item.asked.end()) {
            sum.unranked += rate;
            continue;
        }
        for (std::size_t rank = 0; rank < accountRanks; ++rank) {
            sum.asked.at(rank) += asked->second.at(rank);
        }
    }
    return sum;
}

std::int64_t spending_tracker::drainEarlierSpending(const std::string &account)
{
    const auto found = m_earlier.find(account);
    if (found == m_earlier.end()) {
        return 0;
    }
    const auto tokens = static_cast<std::int64_t>(found->second);
    m_earlier.erase(found);
    return tokens;
}

double spending_tracker::drainRemoteSpending(const std::string &account, double perSecond, time_point now)
{
    const auto undrained = m_undrained.find(account);
    double spent = undrained == m_undrained.end() ? 0.0 : static_cast<double>(undrained->second);
    if (undrained != m_undrained.end()) {
        m_undrained.erase(undrained);
    }
    const auto [asked, first] = m_drainedAt.try_emplace(account, now);
    if (!first) {
        const double elapsed = std::chrono::duration<double>(now - asked->second).count();
        const double evenShare = perSecond / static_cast<double>(m_peers.size() + 1);
        spent += evenShare * elapsed * static_cast<double>(silentCount(now));
    }
    asked->second = now;
    return spent;
}

} // namespace chicoryrouter
