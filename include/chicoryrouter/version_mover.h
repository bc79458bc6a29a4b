// The state of one version move at one daemon: the new version's share of the traffic, whether the version was rejected, and the outcome to
// record. A move shifts a service's traffic from an old version to a new one in steps, as a canary rollout does.
//
// The share depends on the evidence alone, so daemons with the same evidence compute the same share without communicating. Sequential
// probability ratio tests compare the new version with the old one on each route: one for failures, and two for answers slower than usual
// for the old version. Each step requires a number of answers from the new version, in all and on every route that has traffic. While
// any test indicates a likely regression, the share doesn't rise.
// A test that crosses its upper bound rejects the version: this daemon sets the share to zero at once, gossip spreads the rejection, and it
// is not withdrawn during the move.
// The outcome, completed or rolled back, is a single record in the key-value service, written by compare-and-swap. It is announced to other
// daemons only after that. A move without an outcome at its deadline is rolled back.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/evidence.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace chicoryrouter {

enum class move_state : std::uint8_t {
    Waiting,    // before its start time
    Moving,     // the new version gets its share of the traffic
    Rejected,   // rejected by this or another daemon; the rollback is not recorded yet
    Overdue,    // the deadline passed without an outcome; the rollback is not recorded yet
    Done,       // outcome recorded: all traffic goes to the new version
    RolledBack, // outcome recorded: all traffic stays with the old version
};

enum class move_outcome : std::uint8_t {
    Done,
    RolledBack,
};

// Kind of an update about a move that daemons send to each other. Of two updates, the one whose kind is later in this list wins.
enum class move_update_kind : std::uint8_t {
    Rejected,
    RolledBack,
    Done,
};

struct move_update
{
    std::uint64_t move = 0; // moveId()
    move_update_kind kind = move_update_kind::Rejected;
    std::string reason;
};

// The service's current load and the capacity of the new version.
struct move_context
{
    std::uint32_t openRequests = 0;      // of the service, over all daemons; approximate
    std::uint32_t newEndpoints = 0;      // endpoints of the new version that accept work
    std::uint32_t newMaxConcurrency = 1; // concurrency limit of one of them
};

std::uint64_t moveId(const version_move &move); // the same at all daemons; a move with another order, start, end or version has another id
std::string outcomeKey(std::uint64_t move);     // key of the outcome's record in the key-value service
std::string encodeOutcome(move_outcome outcome, const std::string &reason);
std::optional<move_outcome> decodeOutcome(std::string_view text); // nullopt when it is not an encoded outcome
std::string_view toText(move_state state);

// The basis of the share and the outcome, for logs.
struct move_progress
{
    std::size_t step = 0;
    std::uint64_t answers = 0;     // completed answers of the new version
    double slowness = 0.0;         // log likelihood ratio; positive: probably slower than the old version
    bool passed = false;           // the failure test of every route has passed
    bool regressionLikely = false; // some test is above regressionBound
};

class version_mover
{
public:
    explicit version_mover(version_move move);

    void update(const evidence_store &evidence, const move_context &context, time_point now);
    void onPeerUpdate(const move_update &peerUpdate); // ignored when it is about another move or this move has ended
    void onOutcome(move_outcome outcome);             // read from or written to the key-value service

    [[nodiscard]] move_state state() const { return m_state; }
    [[nodiscard]] std::uint32_t share() const;                        // of the new version, in thousandths of the service's traffic
    [[nodiscard]] std::uint32_t endpointCap() const { return m_cap; } // how many endpoints of the new version to use; 0: all
    [[nodiscard]] std::optional<move_outcome> dueOutcome() const;     // the outcome to record now; nullopt when none is due or one is recorded
    [[nodiscard]] const std::string &reason() const { return m_reason; }
    [[nodiscard]] std::optional<move_update> updateForPeers() const; // to be sent to peers; nullopt when there is nothing to announce
    [[nodiscard]] const version_move &spec() const { return m_spec; }
    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] std::size_t step() const { return m_step; }
    [[nodiscard]] move_progress progress() const { return {m_step, m_answers, slowness(), m_passed, m_regressionLikely}; }
    [[nodiscard]] bool isShort() const; // the time from start to deadline is below two minutes

private:
    void reject(std::string reason);
    void testRoutes(const evidence_store &evidence);
    void testRoute(const evidence_store &evidence, const std::string &route);
    void raiseShare(const evidence_store &evidence, time_point now);
    void limitEndpoints(const move_context &context);
    [[nodiscard]] bool isOver() const { return m_state == move_state::Done || m_state == move_state::RolledBack; }
    [[nodiscard]] time_point earliestEnd() const;
    [[nodiscard]] double slowness() const; // the higher of the two log likelihood ratios

    version_move m_spec;
    std::uint64_t m_id;
    move_state m_state = move_state::Waiting;
    std::size_t m_step = 0; // only grows
    std::uint32_t m_cap = 1;
    std::uint64_t m_answers = 0;          // completed answers of the new version
    bool m_regressionLikely = false;      // some test is above regressionBound: the share doesn't rise
    bool m_passed = false;                // the failure test of every route has passed
    std::array<double, 2> m_slowness{};   // log likelihood ratios of the two slowness tests, summed over all routes with a known baseline
    bool m_baselineKnown = false;         // some route has enough latencies of the old version for the slowness tests
    time_point m_readySince = noDeadline; // since when all conditions for the outcome Done hold
    bool m_ready = false;                 // they have held for the ramp's readyTime
    std::string m_reason;
};

} // namespace chicoryrouter
