// What this daemon knows about the endpoints: from the instance list, load reports, the outcomes of its own requests and the document.
// Decides for each endpoint whether it may take new requests and how many, and builds the routing table.
// An endpoint that keeps failing, fails far more often than the others of its service, or can't be reached is set aside (outlier ejection):
// as long as enough others remain, it gets no requests until a delay has passed, then one at a time until one succeeds.
// Not thread-safe: used on the control strand only, the thread that does the daemon's work outside of requests.
#pragma once

#include "chicoryrouter/departures.h"
#include "chicoryrouter/endpoint_limit.h"
#include "chicoryrouter/endpoint_pace.h"
#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/routing_table.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicoryrouter {

// One entry of the platform's instance list.
struct instance_record
{
    std::string id;
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    std::string service;
    std::string version;
    address listenAddress;
    std::string startToken{}; // identifies the placement order that started it; empty: not started by a placer
    bool leaving = false;
    time_point leaveBy = noDeadline; // when the instance will be gone; meaningful only if `leaving`
    std::uint32_t slots = 0;         // concurrent requests, as the endpoint reports; 0: the document's limit applies
    std::uint64_t incarnation = 0;   // rises with every restart, which loses all requests and state; 0: unknown
    time_point coldUntil{};          // until then it accepts fewer new requests per second (service::coldRequestsPerSecond)
};

// Announces that an endpoint's instance is about to be reclaimed or stopped. Open streams must be moved to other endpoints by `leaveBy`.
struct reclaim_notice
{
    std::string endpointId;
    time_point leaveBy = noDeadline;
};

// The outcome of one attempt to run a request at an endpoint.
struct attempt_outcome
{
    std::string endpointId;
    std::string service;
    std::string version;
    std::string route;
    attempt_result result = attempt_result::Completed;
    duration firstToken{};             // time to the first token; zero: no token arrived
    bool firstTokenReported = false;   // an outcome with attempt_result::FirstTokenReceived was already reported for this attempt
    std::optional<stated_load> load{}; // as the endpoint stated it in the answer: the requests of all daemons
    bool endpointCold = false;         // the endpoint had reported itself as cold
    std::uint32_t promptTokens = 0;    // of the request; 0: unknown. The three counts are set with attempt_result::FirstTokenReceived only
    std::uint32_t prefixTokens = 0;    // of those, shared with other requests, so that the endpoint may have kept them
    std::uint32_t tokensAhead = 0;     // prompt tokens of other requests that were known to wait at the endpoint when it was sent
};

// One endpoint for status output.
struct endpoint_status
{
    endpoint_ptr info;
    std::uint32_t limit = 0; // concurrent requests the endpoint may have from all daemons together
    load_report report;
};

// All endpoints known to this daemon.
class fleet
{
public:
    fleet(std::string ownDomain, std::uint64_t self); // `self`: hash of this entry instance's name

    void setDocument(std::shared_ptr<const revisioned_document> inForce);
    void setMembers(std::vector<std::uint64_t> members); // hashes of the live entry instances, including this one
    void setShares(std::vector<version_share> shares);   // traffic shares of the version moves in progress
    [[nodiscard]] bool hasShares(const std::vector<version_share> &shares) const { return shares == m_shares; }
    std::vector<reclaim_notice> onInstanceList(const std::vector<instance_record> &list, time_point now); // returns the newly known reclaims
    std::vector<reclaim_notice> onNotice(const std::string &endpointId, time_point leaveBy); // empty if already known, or if the endpoint is unknown
    // The endpoint itself says, in an answer, that it leaves. Holds for its incarnation, whatever the instance list says afterwards, also if
    // the entry lapses and returns. Returns what to tell the other daemons; nullopt if it was already known, or if the endpoint is gone.
    std::optional<departure> onLeavingAnswer(const endpoint &target, time_point now);
    bool onDeparture(const departure &item, time_point now);      // the endpoint said so to another daemon; false: known already, too old, or not listed yet
    bool onLoadReport(const load_report &report, time_point now); // false: not newer than the last report, or unknown endpoint
    void onOutcome(const attempt_outcome &outcome, time_point now);
    [[nodiscard]] bool isCold(const std::string &endpointId, time_point now) const; // as reported by the endpoint itself (instance_record::coldUntil)
    void startDueProbes(time_point now);   // admits one probe request to each set-aside endpoint whose delay has passed
    void refillPaceTokens(time_point now); // refills the pace tokens of cold endpoints; call at least ten times a second
    void endRests(time_point now);         // of endpoints that asked for a rest whose time has come; call at least ten times a second
    void setVersionBlocked(const std::string &service, const std::string &version, bool blocked); // for services with `anyVersion`

    std::shared_ptr<const routing_table> buildTable();                                            // also updates every endpoint's slots
    [[nodiscard]] bool isDirty() const { return m_dirty; }                                        // something changed since the last buildTable()
    [[nodiscard]] const std::vector<endpoint_ptr> &endpoints() const { return m_tableEndpoints; } // of the last buildTable(); cheap
    [[nodiscard]] std::vector<endpoint_status> status() const;

private:
    struct known_endpoint
    {
        endpoint info;                 // `use` is updated by buildTable(), the rest by the instance list
        bool listed = true;            // in the latest instance list
        bool leaving = false;          // never reset for an incarnation
        bool saidThatItLeaves = false; // in an answer
        load_report report;
        time_point reportedAt{};           // when the load was last reported, by `report` or in an answer
        std::uint64_t completedAtCold = 0; // value of load_report::completed when it was last found cold
        cold_detector coldDetector;
        endpoint_pace pace; // only while load control is on
        std::uint32_t failuresInRow = 0;
        double failureRate = 0.0;           // moving average over its answers: 0 none failed, 1 all failed
        std::uint32_t timesSetAside = 0;    // consecutive times, for the back-off of probes
        std::uint32_t timesUnreachable = 0; // consecutive times, for the back-off of connection attempts
        time_point probeAt = noDeadline;    // set aside until then; noDeadline: not set aside
        bool probing = false;               // admitted for one request after being set aside
        std::uint32_t reportedSlots = 0;    // concurrent requests, as the endpoint reports; 0: the document's limit applies
        std::uint64_t incarnation = 0;      // see instance_record
        time_point coldUntil{};             // until then new requests need a pace token
        time_point paceUpdatedAt{};         // when paceCredit was last updated
        double paceCredit = 0.0;            // fraction of a pace token accrued so far
        time_point tokenExpiresAt{};        // when the last pace token expires; only if paceTokensExpire()
    };

    // An endpoint that said that it leaves and is not listed, either no longer or not yet.
    struct departed_endpoint
    {
        std::uint64_t incarnation = 0;
        time_point forgetAt{};
    };

    void updateUse(known_endpoint &item) const;
    void markLeaving(known_endpoint &item);
    bool markDeparted(known_endpoint &item);
    [[nodiscard]] bool hasDeparted(const known_endpoint &item) const;
    void forgetUnlisted(time_point now);
    void applyRecord(known_endpoint &item, const instance_record &record);
    void updateSlots(const known_endpoint &item) const;
    [[nodiscard]] std::size_t daemonCount() const { return std::max<std::size_t>(m_members.size(), 1); } // daemons that share the limits
    [[nodiscard]] std::uint32_t connectionShare(const known_endpoint &item) const;                       // concurrent requests from this daemon
    [[nodiscard]] double initialPaceCredit(const known_endpoint &item) const;
    [[nodiscard]] bool paceTokensExpire(const known_endpoint &item) const;
    [[nodiscard]] double pacePerSecond(const known_endpoint &item) const;
    void updateReportedLoad(known_endpoint &item, time_point now);
    void setAside(known_endpoint &item, std::uint32_t &timesInRow, duration initialDelay, duration maxDelay, time_point now);
    void setAsideUnreachable(known_endpoint &item, time_point now);
    void setAsideIfAllowed(known_endpoint &item, time_point now);
    [[nodiscard]] bool isOutlier(const known_endpoint &item) const;
    void observeFirstToken(known_endpoint &item, duration firstToken);
    void learnPace(known_endpoint &item, const attempt_outcome &outcome);
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
    std::map<std::string, departed_endpoint> m_departed;             // by id; not in m_endpoints
    std::set<std::pair<std::string, std::string>> m_blockedVersions; // service and version; rolled back by a version move
    std::map<std::string, duration> m_usualFirstTokens;              // service -> moving average of the time to the first token
    std::map<std::string, service_pace> m_usualPaces;                // by service; only while load control is on
    std::vector<endpoint_ptr> m_tableEndpoints;
    bool m_dirty = true;
};

} // namespace chicoryrouter
