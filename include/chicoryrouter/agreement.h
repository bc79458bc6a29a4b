// What the daemons of a deployment agree on without a coordinator, as one daemon holds it: the document in force, the members, load
// reports, evidence and version moves, account demand. Pure; the messages are the real encoded ones, so tests exchange them directly.
//
// How to use: onTick() once every gossip interval; send compose(target) to each probe's target and give what comes back to receive().
// Whoever gets a message answers with its own compose(). When receive() names a newer document, pull it from that peer.
// Where daemons can send each other datagrams, send evidenceNotes() to all several times a second: gossip takes seconds to reach everybody.
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

inline constexpr std::size_t maxGossipBytes = 64 * 1024; // larger messages are refused unread

// Requests per second that one daemon sees of each client account.
struct account_demand
{
    std::string account;
    double perSecond = 0.0;
};

struct demand_report
{
    std::uint64_t origin = 0;   // hash of the daemon's name, or of its failure domain's when it is the domain's sum
    std::uint64_t sequence = 0; // higher is newer
    std::vector<account_demand> accounts;
};

struct gossip_message
{
    std::string from; // instance name of the sender
    std::string to;   // instance name it is meant for; another process at that address ignores it
    configuration_advert advert;
    std::vector<member_info> members;
    std::vector<load_report> loads;
    std::vector<evidence_cell> evidence;
    std::vector<move_notice> moveNotices;
    std::vector<demand_report> demands;
};

// What a daemon tells all others directly while a version is on trial: its own evidence, and its veto.
struct evidence_datagram
{
    std::vector<evidence_cell> cells;
    std::vector<move_notice> vetoes;
};

std::string encodeGossip(const gossip_message &message);
std::optional<gossip_message> decodeGossip(std::string_view bytes); // nothing when it is none; fields it does not know are passed over
std::string encodeEvidence(const evidence_datagram &datagram);
std::optional<evidence_datagram> decodeEvidence(std::string_view bytes); // likewise

struct gossip_result
{
    bool accepted = false; // false: not for us, or no gossip
    std::string from;
    bool hasNewerDocument = false;  // pull it from `from`
    std::vector<load_report> loads; // newer than what was held; for the fleet
};

struct cluster_state_options
{
    membership_options members;
    std::size_t membersPerMessage = 24; // members told per message
    std::size_t loadsPerMessage = 32;
    std::size_t cellsPerMessage = 12;
    std::size_t demandsPerMessage = 8;
    document_reader reader = parseDocument; // of the documents that are offered and pulled
    std::size_t smallDeploymentLimit = 16;  // members up to which every daemon hears everything; above, domains hear sums of each other
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

    // ---- Notes, beside gossip
    std::vector<std::string> evidenceDatagrams(std::size_t maxBytes); // news for all daemons, a datagram each; empty while no version is on trial
    void receiveEvidenceDatagram(std::string_view bytes);             // what is none is passed over: the next says the same

    // ---- What this daemon learns itself
    offer_result offerDocument(std::uint64_t revision, std::string text);
    bool onLoadReport(const load_report &report);                   // true: newer than what was held
    void onOutcome(const attempt_outcome &outcome, time_point now); // counts as evidence while its service moves
    void setDemand(std::vector<account_demand> demand);
    void updateMoves(const std::function<move_context(const version_move &)> &contextOf, time_point now);

    // ---- What follows from it
    [[nodiscard]] const configuration &documents() const { return m_documents; }
    membership &members() { return m_members; }
    [[nodiscard]] const membership &members() const { return m_members; }
    std::map<std::string, version_mover> &moves() { return m_moves; } // by service
    [[nodiscard]] const std::map<std::string, version_mover> &moves() const { return m_moves; }
    [[nodiscard]] std::vector<version_share> shares() const;
    [[nodiscard]] std::uint32_t accountLimitShare(const client_account &account) const; // this daemon's part of the account's limit
    // This daemon is one of the two that ask the endpoint for its load; in a large deployment two of the endpoint's own failure domain.
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
    void mergeEvidence(const std::vector<evidence_cell> &cells, const std::vector<move_notice> &notices);
    void addDemands(gossip_message &message, bool crossesDomain);
    void mergeDemand(const demand_report &report);
    [[nodiscard]] demand_report domainDemand() const;
    struct live_member
    {
        std::uint64_t origin = 0; // hash of its name
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
    mutable std::vector<live_member> m_liveMembers;          // of m_members, made anew when it has changed
    mutable std::uint64_t m_liveMembersVersion = UINT64_MAX; // membership::changes() of which m_living was made
    evidence_store m_evidence;
    std::map<std::string, version_mover> m_moves;
    std::map<std::string, tracked_report> m_loads;     // by endpoint id
    std::map<std::uint64_t, tracked_demand> m_demands; // by origin, self included
    std::uint64_t m_demandSequence = 0;
    std::uint64_t m_sendCounter = 0;                       // of telling loads and demands
    std::map<std::string, std::uint64_t> m_warmUpAnswers;  // endpoint -> answers of a version on trial left out as warm-up
    std::map<std::string, time_point> m_nextLossCountedAt; // endpoint -> its next lost connection counts from then on
};

} // namespace chicoryrouter
