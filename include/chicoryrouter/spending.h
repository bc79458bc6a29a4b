// Tracks the tokens that the other daemons of a deployment spend from client accounts' shared limits, so that each daemon can spend what the
// others leave.
//
// Every daemon sends the others its running totals many times a second. A lost report does no harm, because the next one includes its totals.
// A daemon that becomes silent is assumed to spend an even share of every limit, until a report arrives or it has been silent for so long
// that it must be gone. So daemons that can't reach each other keep within the limit together.
// No clock, socket or thread; used on the control strand only.
#pragma once

#include "chicoryrouter/account_sharing.h"
#include "chicoryrouter/scaling.h"
#include "chicoryrouter/time.h"
#include "chicoryrouter/usage_ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

using account_tokens = std::map<std::string, std::uint64_t>; // by account; running totals since the daemon's start

// One daemon's totals, as sent to the others.
struct spending_report
{
    std::string from;
    std::uint64_t start = 0;    // start time of the process, because totals begin at zero after a restart
    std::uint64_t sequence = 0; // higher is newer
    account_tokens spent;
    account_tokens recent; // of the accounts in `spent`: tokens within the last account window, for daemons that have just started; may be empty
    std::map<std::string, service_load> loads;             // by service: the daemon's open and awaiting requests
    std::map<std::uint64_t, usage_counts> startedRequests; // requests that began to run, for the newest windows of the usage ledger
    std::map<std::string, rank_rates> asked;               // by account, those near their limit only: what is asked for at the daemon
};

// What the other daemons that are not silent ask and spend of one account.
struct remote_demand
{
    double spentSince = 0.0; // tokens that they can have spent since they reported, at their rates of then
    double unranked = 0.0;   // tokens per second spent by those that don't tell what is asked
    rank_rates asked{};      // by the others
};

std::string encodeSpending(const spending_report &report);
std::optional<spending_report> decodeSpending(std::string_view bytes); // nullopt when it is not a spending report

inline constexpr std::size_t maxSpendingBytes = 1400; // fits one datagram; accounts that don't fit are sent in the next ones

class spending_tracker
{
public:
    explicit spending_tracker(std::string self);

    void setMembers(const std::vector<std::string> &names, time_point now); // present members; may include this daemon
    void receive(const spending_report &report, time_point now);
    double drainRemoteSpending(const std::string &account, double perSecond, time_point now); // tokens since the last call; call once a tick per account
    // Tokens that the others spent within the last account window, as they stated when this daemon first heard from them; since the last call.
    std::int64_t drainEarlierSpending(const std::string &account);
    // Estimated tokens that the others have spent but not reported yet, extrapolated from the rate between their two newest reports.
    [[nodiscard]] double unreportedRemoteSpending(const std::string &account, time_point now) const;
    [[nodiscard]] remote_demand remoteDemand(const std::string &account, time_point now) const; // for accounts whose limit is shared by rank
    [[nodiscard]] const std::string &self() const { return m_self; }
    [[nodiscard]] std::size_t silentCount(time_point now) const;    // number of daemons that are silent, whose spending is assumed
    [[nodiscard]] time_point silentSince(time_point now) const;     // when the first of the daemons that are silent was heard last; `now` if none is
    [[nodiscard]] double reachableShare(time_point now) const;      // part of all daemons, this one included, that are not silent; above 0
    usage_counts remoteStartedRequests(std::uint64_t window) const; // by account, of all other daemons ever heard from, including removed ones
    [[nodiscard]] bool heardFromAllSince(time_point moment) const;  // whether every tracked daemon sent a report after `moment`
    [[nodiscard]] service_load remoteLoad(const std::string &service, time_point now) const; // summed over the daemons that are not silent

private:
    struct peer
    {
        std::uint64_t start = 0;
        std::uint64_t sequence = 0;
        time_point heardAt{};
        time_point presentAt{};              // when it was last passed to setMembers()
        account_tokens totals;               // as last reported
        duration interval{};                 // between its two newest reports
        std::map<std::string, double> rates; // by account: tokens per second between its two newest reports
        std::map<std::string, service_load> loads;
        std::map<std::string, rank_rates> asked;
    };

    [[nodiscard]] bool isSilent(const peer &item, time_point now) const;

    std::string m_self;
    duration m_silentAfter = std::chrono::milliseconds(700);                         // several reports in a row are missing; longer in large deployments
    std::map<std::string, peer> m_peers;                                             // by name, without this daemon
    std::map<std::pair<std::string, std::uint64_t>, usage_ledger> m_startedRequests; // by name and start
    std::map<std::string, std::uint64_t> m_undrained; // by account: tokens reported but not yet returned by drainRemoteSpending()
    account_tokens m_earlier;                         // by account: tokens for drainEarlierSpending()
    std::map<std::string, time_point> m_drainedAt;    // by account: last call of drainRemoteSpending()
};

} // namespace chicoryrouter
