// One daemon's replica of the state that the daemons of a deployment share by gossip, without a coordinator: the configuration document in
// force, the members, load reports, version moves with their evidence, and the demand of client accounts. No clock, socket or thread:
// messages go in and out as encoded bytes, so tests exchange them directly.
//
// How to use: call onTick() once every gossip interval, send compose(target) to the target of each probe it returns, and pass the response
// to receive(). A daemon that receives a message responds with its own compose(). When receive() reports a newer document, pull it from
// that peer. Where daemons can send each other datagrams, send evidenceDatagrams() to all others several times a second, because gossip
// takes seconds to reach every daemon.
#pragma once

#include "chicoryrouter/configuration.h"
#include "chicoryrouter/endpoint_limit.h"
#include "chicoryrouter/evidence.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/membership.h"
#include "chicoryrouter/version_mover.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryrouter {

inline constexpr std::size_t maxGossipBytes = 64 * 1024; // larger messages are rejected without being parsed

// Rate of requests, in requests per second, that one daemon receives from a client account.
struct account_demand
{
    std::string account;
    double perSecond = 0.0;
};

struct demand_report
{
    std::uint64_t origin = 0;   // hash of the daemon's name, or of the failure domain's name when the report is the domain's sum
    std::uint64_t sequence = 0; // higher is newer
    std::vector<account_demand> accounts;
};

struct gossip_message
{
    std::string from; // instance name of the sender
    std::string to;   // instance name of the receiver; another process that now has the same address ignores the message
    configuration_advert advert;
    std::vector<member_info> members;
    std::vector<load_report> loads;
    std::vector<evidence_cell> evidence;
    std::vector<move_update> moveUpdates;
    std::vector<demand_report> demands;
};

// Sent directly to all other daemons while a version move is open: the sender's own evidence and the rejections it knows of.
struct evidence_datagram
{
    std::vector<evidence_cell> cells;
    std::vector<move_update> rejections;
};

std::string encodeGossip(const gossip_message &message);
std::optional<gossip_message> decodeGossip(std::string_view bytes); // nullopt when it is not a gossip message; unknown fields are ignored
std::string encodeEvidence(const evidence_datagram &datagram);
std::optional<evidence_datagram> decodeEvidence(std::string_view bytes); // nullopt when it is not an evidence datagram; unknown fields are ignored

struct gossip_result
{
    bool accepted = false; // false: addressed to another instance, or not a gossip message
    std::string from;
    bool hasNewerDocument = false;  // to be pulled from `from`
    std::vector<load_report> loads; // the reports that are newer than those known before; pass them to the fleet
};

struct cluster_state_options
{
    membership_options members;
    std::size_t membersPerMessage = 24; // member records
    std::size_t loadsPerMessage = 32;
    std::size_t cellsPerMessage = 12;
    std::size_t demandsPerMessage = 8;
    document_reader reader = parseDocument; // parses the documents that are offered or pulled
    // Above this number of members, load reports stay in their failure domain, and other domains get only the sum of a domain's demand.
    std::size_t smallDeploymentLimit = 16;
};

class cluster_state
{
public:
    cluster_state(member_info self, cluster_state_options options, std::uint64_t seed);

    // ---- Gossip
    std::vector<probe> onTick(time_point now);
    std::string compose(const std::string &to, time_point now);
    gossip_result receive(std::string_view bytes, time_point now);
    [[nodiscard]] document_envelope documentForPeers() const;

    // ---- Evidence datagrams, in addition to gossip
    std::vector<std::string> evidenceDatagrams(std::size_t maxBytes); // to be sent to all daemons; empty while no version move is open
    void receiveEvidenceDatagram(std::string_view bytes);             // ignores invalid bytes: their content is sent again in later datagrams and by gossip

    // ---- Input from this daemon
    offer_result offerDocument(std::uint64_t revision, std::string text);
    bool onLoadReport(const load_report &report);                   // true: newer than the report known before
    void onOutcome(const attempt_outcome &outcome, time_point now); // counted as evidence while a version move of the service is open
    void setDemand(std::vector<account_demand> demand);
    void updateMoves(const std::function<move_context(const version_move &)> &contextOf, time_point now);

    // ---- Resulting state
    [[nodiscard]] const configuration &documents() const { return m_documents; }
    membership &members() { return m_members; }
    [[nodiscard]] const membership &members() const { return m_members; }
    std::map<std::string, version_mover> &moves() { return m_moves; } // by service
    [[nodiscard]] const std::map<std::string, version_mover> &moves() const { return m_moves; }
    [[nodiscard]] std::vector<version_share> shares() const;
    [[nodiscard]] std::uint32_t accountLimitShare(const client_account &account) const; // this daemon's share of the account's limit on requests in flight
    // Whether this daemon is one of the two that poll the endpoint for its load. In a large deployment both are in the endpoint's failure domain.
    [[nodiscard]] bool pollsEndpoint(std::uint64_t endpointKey, const std::string &failureDomain) const;
    [[nodiscard]] const evidence_store &evidence() const { return m_evidence; }

private:
    struct tracked_demand
    {
        demand_report report;
        transmission_state transmission;
    };

    struct tracked_report
    {
        load_report report;
        transmission_state transmission;
    };

    [[nodiscard]] double demandOf(std::uint64_t origin, const std::string &account) const;
    void addLoads(gossip_message &message);
    void mergeEvidence(const std::vector<evidence_cell> &cells, const std::vector<move_update> &updates);
    void addDemands(gossip_message &message, bool crossesDomain, time_point now);
    void mergeDemand(const demand_report &report);
    demand_report domainDemand(time_point now);
    struct live_member
    {
        std::uint64_t origin = 0; // hash of the instance name
        std::string failureDomain;
    };

    [[nodiscard]] const std::vector<live_member> &liveMembers() const;
    [[nodiscard]] bool isSmallDeployment() const;
    [[nodiscard]] std::vector<std::uint64_t> demandOrigins() const;
    void syncMoves();
    void pruneDemands();

    cluster_state_options m_options;
    std::uint64_t m_self;
    configuration m_documents;
    membership m_members;
    mutable std::vector<live_member> m_liveMembers;          // cache of m_members.liveMembers(), rebuilt after changes
    mutable std::uint64_t m_liveMembersVersion = UINT64_MAX; // membership::changeCount() at which m_liveMembers was built
    evidence_store m_evidence;
    std::map<std::string, version_mover> m_moves;
    std::map<std::string, tracked_report> m_loads;     // by endpoint id
    std::map<std::uint64_t, tracked_demand> m_demands; // by origin, including this daemon
    std::uint64_t m_demandSequence;                    // begins at this process's first incarnation, so that it goes on above the former process's
    std::vector<std::uint64_t> m_domainDemandParts;    // of the newest domainDemand(): origins and sequences
    std::uint64_t m_domainDemandSequence = 0;
    std::uint64_t m_sendCounter = 0;                       // for leastRecentlySent(), of loads and demands
    std::map<std::string, std::uint64_t> m_warmUpAnswers;  // endpoint id -> answers of the new version whose latency was left out as warm-up
    std::map<std::string, time_point> m_nextLossCountedAt; // endpoint id -> lost connections before this time are not counted
};

} // namespace chicoryrouter
