// Tokens that the daemons of a deployment spend of their accounts' limits, so that each may spend what the others leave.
//
// Every daemon tells the others its own running totals many times a second. A lost note costs nothing: the next holds the same totals and
// more. What a daemon does not hear of it assumes: one that fell silent spends its even part of every limit, until it is heard again or
// has been silent for so long that it must be gone. So daemons that are cut off from each other keep the limit between them.
// Pure; used on the control strand only.
#pragma once

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

// What one daemon tells the others.
struct spending_report
{
    std::string from;
    std::uint64_t start = 0;    // of its process: totals of another start begin at zero
    std::uint64_t sequence = 0; // higher is newer
    account_tokens spent;
    std::map<std::string, service_load> loads;             // by service: what it has open
    std::map<std::uint64_t, usage_counts> startedRequests; // by window of the usage reports: requests that began to run, the newest windows
};

std::string encodeSpending(const spending_report &report);
std::optional<spending_report> decodeSpending(std::string_view bytes); // nothing when it is none

inline constexpr std::size_t maxSpendingBytes = 1400; // one datagram; accounts that do not fit are told in the next ones

class spending_tracker
{
public:
    explicit spending_tracker(std::string self);

    void setMembers(const std::vector<std::string> &names, time_point now); // those present; self may be among them
    void receive(const spending_report &report, time_point now);
    double drainRemoteSpending(const std::string &account, double perSecond, time_point now); // tokens since the last call; asks once a tick for each account
    // Tokens that the others may have spent of an account's limit and not told yet, at the rate of their newest notes.
    [[nodiscard]] double unreportedRemoteSpending(const std::string &account, time_point now) const;
    [[nodiscard]] std::size_t silentCount(time_point now) const;                             // daemons whose spending is assumed
    usage_counts remoteStartedRequests(std::uint64_t window) const;                          // of all daemons ever heard, also since gone
    [[nodiscard]] bool heardFromAllSince(time_point moment) const;                           // every daemon present told something after it
    [[nodiscard]] service_load remoteLoad(const std::string &service, time_point now) const; // of those that are heard

private:
    struct peer
    {
        std::uint64_t start = 0;
        std::uint64_t sequence = 0;
        time_point heardAt{};
        time_point presentAt{};              // when it was last among the members
        account_tokens totals;               // as last told
        duration interval{};                 // between its two newest notes
        std::map<std::string, double> rates; // by account: tokens a second between its two newest notes
        std::map<std::string, service_load> loads;
    };

    [[nodiscard]] bool isSilent(const peer &item, time_point now) const;

    std::string m_self;
    duration m_silentAfter = std::chrono::milliseconds(700);                         // several notes in a row did not come; longer where notes come more rarely
    std::map<std::string, peer> m_peers;                                             // by name, without self
    std::map<std::pair<std::string, std::uint64_t>, usage_ledger> m_startedRequests; // by name and start
    std::map<std::string, std::uint64_t> m_undrained;                                // by account: told and not yet taken
    std::map<std::string, time_point> m_drainedAt;                                   // by account
};

} // namespace chicoryrouter
