// The endpoints as this daemon knows them: from the instance list, load reports, its own requests' outcomes and the document.
// Decides for each whether it may take new work and how much, and builds the routing table. Used on the control strand only.
#pragma once

#include "chicoryrouter/endpoint_limit.h"
#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/routing_table.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicoryrouter {

// One endpoint as the platform's instance list states it.
struct instance_record
{
    std::string id;
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::string service;
    std::string version;
    address listenAddress;
    std::string startToken{}; // of the start that made it; empty: not started by a placer
    bool leaving = false;
    time_point leaveBy = noDeadline; // when it will be gone, if leaving
    std::uint32_t slots = 0;         // requests it runs at once, as it says itself; 0: the document says
    std::uint64_t incarnation = 0;   // tells its starts apart: a new start holds and knows nothing; 0: not stated
    time_point coldUntil{};          // bears less until then
};

// An endpoint of which it became known that it leaves: open streams must be moved by `leaveBy`.
struct reclaim_notice
{
    std::string endpointId;
    time_point leaveBy = noDeadline;
};

// What came of one attempt.
struct attempt_outcome
{
    std::string endpointId;
    std::string service;
    std::string version;
    std::string route;
    attempt_result result = attempt_result::Completed;
    duration firstToken{};                  // zero: none was seen
    bool firstTokenReported = false;        // the same attempt's Began, with its first token, was told before
    std::uint32_t endpointOpenRequests = 0; // requests that the endpoint said it held, running and waiting; with `reportsLoad` only
    bool reportsLoad = false;
    bool endpointCold = false; // it said that it is, as far as is known here
};

struct endpoint_status
{
    endpoint_ptr info;
    std::uint32_t limit = 0; // requests the endpoint bears in all
    load_report report;
};

class fleet
{
public:
    fleet(std::string ownDomain, std::uint64_t self); // `self`: hash of this entry instance's name

    void setDocument(std::shared_ptr<const revisioned_document> inForce);
    void setMembers(std::vector<std::uint64_t> members); // hashes of the live entry instances, self included
    void setShares(std::vector<version_share> shares);   // of open version moves
    [[nodiscard]] bool hasShares(const std::vector<version_share> &shares) const { return shares == m_shares; }
    std::vector<reclaim_notice> onInstanceList(const std::vector<instance_record> &list, time_point now);
    std::vector<reclaim_notice> onNotice(const std::string &endpointId, time_point leaveBy);
    bool onLoadReport(const load_report &report, time_point now); // false: older than what is held
    void onOutcome(const attempt_outcome &outcome, time_point now);
    [[nodiscard]] bool isCold(const std::string &endpointId, time_point now) const; // it said so of itself
    void startDueProbes(time_point now);                                            // brings back what was set aside long enough
    void refillPaceTokens(time_point now);                                          // hands out new work for cold endpoints; call at least ten times a second
    void setVersionBlocked(const std::string &service, const std::string &version, bool blocked); // services whose versions come with their endpoints

    std::shared_ptr<const routing_table> buildTable();                                            // also sets every endpoint's slots
    [[nodiscard]] bool isDirty() const { return m_dirty; }                                        // something changed since the last buildTable()
    [[nodiscard]] const std::vector<endpoint_ptr> &endpoints() const { return m_tableEndpoints; } // as of the last buildTable(); cheap
    [[nodiscard]] std::vector<endpoint_status> status() const;

private:
    struct known_endpoint
    {
        endpoint info;      // `use` and `where` are kept current
        bool listed = true; // in the newest instance list
        bool leaving = false;
        load_report report;
        time_point reportedAt{};           // when `report` came
        std::uint64_t completedAtCold = 0; // completed count at which it was last found cold
        cold_detector coldDetector;
        std::uint32_t failuresInRow = 0;
        double failureRate = 0.0;           // of its answers, the newest weighing most
        std::uint32_t timesSetAside = 0;    // in a row, for the probe's back-off
        std::uint32_t timesUnreachable = 0; // in a row, likewise
        time_point probeAt = noDeadline;    // set aside until then
        bool probing = false;               // back for one request
        std::uint32_t reportedSlots = 0;    // as it states itself; 0: the document says
        std::uint64_t incarnation = 0;      // of its present start
        time_point coldUntil{};             // new work is paced until then
        time_point paceUpdatedAt{};         // when paceTokens were last handed out
        double paceCredit = 0.0;            // fraction of a request earned since
        time_point tokenExpiresAt{};        // the permit handed out last lapses then, where permits lapse
    };

    void updateUse(known_endpoint &item) const;
    void applyRecord(known_endpoint &item, const instance_record &record);
    void updateSlots(const known_endpoint &item) const;
    [[nodiscard]] std::size_t daemonCount() const { return std::max<std::size_t>(m_members.size(), 1); } // daemons among whom limits are divided
    [[nodiscard]] std::uint32_t connectionShare(const known_endpoint &item) const;                       // requests at once, of this daemon
    [[nodiscard]] double initialPaceCredit(const known_endpoint &item) const;
    [[nodiscard]] bool paceTokensExpire(const known_endpoint &item) const;
    [[nodiscard]] double pacePerSecond(const known_endpoint &item) const;
    void updateReportedLoad(known_endpoint &item, time_point now);
    void setAside(known_endpoint &item, std::uint32_t &timesInRow, duration initialDelay, duration maxDelay, time_point now);
    void setAsideUnreachable(known_endpoint &item, time_point now);
    void setAsideIfAllowed(known_endpoint &item, time_point now);
    [[nodiscard]] bool isOutlier(const known_endpoint &item) const;
    void observeFirstToken(known_endpoint &item, duration firstToken);
    [[nodiscard]] const version_spec *versionOf(const endpoint &info) const;
    [[nodiscard]] std::uint32_t limitOf(const known_endpoint &item) const;
    [[nodiscard]] duration usualFirstToken(const std::string &service) const;
    [[nodiscard]] duration linkDelayTo(const std::string &failureDomain) const;

    std::string m_ownDomain;
    std::uint64_t m_self;
    std::shared_ptr<const revisioned_document> m_inForce = std::make_shared<revisioned_document>();
    std::vector<std::uint64_t> m_members;
    std::vector<version_share> m_shares;
    std::map<std::string, known_endpoint> m_endpoints;               // by id
    std::set<std::pair<std::string, std::string>> m_blockedVersions; // service and version that a move took back
    std::map<std::string, duration> m_usualFirstTokens;              // service -> moving average of first-token times
    std::vector<endpoint_ptr> m_tableEndpoints;
    bool m_dirty = true;
};

} // namespace chicoryrouter
