// One version move as one daemon sees it: how much traffic the new version gets, when it is condemned, and what the verdict should be.
//
// The share is a function of the evidence alone, so daemons that hold the same evidence compute the same share without asking anyone.
// It rises by steps; each step needs a number of answers of the new version, on every route that has traffic, with no test leaning
// against it. Two sequential probability ratio tests run per route, against the old version on the same route: failures, and answers
// slower than the old version's usual ones. A test that crosses its bound condemns the version: the share is zero at once here, the
// veto travels by gossip, and it is never withdrawn within the move.
// The verdict is one record in the key-value service, made by compare-and-swap, and nothing is announced before. Without a verdict at
// the time set, the move is taken back.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/evidence.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace chicoryrouter {

enum class move_state : std::uint8_t {
    Waiting, // before its start
    Moving,
    Vetoed,     // vetoed here or elsewhere; the verdict is not recorded yet
    Overdue,    // the time set has passed without a verdict; the verdict is not recorded yet
    Done,       // verdict recorded: all traffic goes to the new version
    RolledBack, // verdict recorded: all traffic stays with the old version
};

enum class move_verdict : std::uint8_t {
    Done,
    RolledBack,
};

// What daemons tell each other of a move. Order matters: of two marks the later in this list wins.
enum class move_notice_kind : std::uint8_t {
    Vetoed,
    RolledBack,
    Done,
};

struct move_notice
{
    std::uint64_t move = 0;
    move_notice_kind kind = move_notice_kind::Vetoed;
    std::string reason;
};

// What the mover needs to know of the service.
struct move_context
{
    std::uint32_t openRequests = 0;      // of the service, over all daemons, roughly
    std::uint32_t newEndpoints = 0;      // of the new version, that may take work
    std::uint32_t newMaxConcurrency = 1; // of one of them
};

std::uint64_t moveId(const version_move &move); // same everywhere; another start, end or pair of versions is another move
std::string verdictKey(std::uint64_t move);     // in the key-value service
std::string encodeVerdict(move_verdict verdict, const std::string &reason);
std::optional<move_verdict> decodeVerdict(std::string_view text);
std::string_view toText(move_state state);

// What a share and a verdict rest on, for logs.
struct move_progress
{
    std::size_t step = 0;
    std::uint64_t answers = 0; // whole ones of the new version
    double slowness = 0.0;     // log likelihood ratio: positive leans towards slower than before
    bool passed = false;       // no route with traffic is still in doubt about failures
    bool suspect = false;      // some test leans against the new version
};

class version_mover
{
public:
    explicit version_mover(version_move move);

    void update(const evidence_store &evidence, const move_context &context, time_point now);
    void onNotice(const move_notice &notice); // from a peer
    void onVerdict(move_verdict verdict);     // read from, or accepted by, the key-value service

    [[nodiscard]] move_state state() const { return m_state; }
    [[nodiscard]] std::uint32_t share() const;                        // of the new version, in thousandths
    [[nodiscard]] std::uint32_t endpointCap() const { return m_cap; } // endpoints of the new version to use; 0: all
    [[nodiscard]] std::optional<move_verdict> dueVerdict() const;     // to be recorded now; nothing when none is due or one is recorded
    [[nodiscard]] const std::string &reason() const { return m_reason; }
    [[nodiscard]] std::optional<move_notice> notice() const; // to be told to peers
    [[nodiscard]] const version_move &spec() const { return m_spec; }
    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] std::size_t step() const { return m_step; }
    [[nodiscard]] move_progress progress() const { return {m_step, m_answers, slowness(), m_passed, m_suspect}; }
    [[nodiscard]] bool isShort() const; // it has seconds only

private:
    void veto(std::string reason);
    void testRoutes(const evidence_store &evidence);
    void testRoute(const evidence_store &evidence, const std::string &route);
    void raiseShare(const evidence_store &evidence, time_point now);
    void limitEndpoints(const move_context &context);
    [[nodiscard]] bool isOver() const { return m_state == move_state::Done || m_state == move_state::RolledBack; }
    [[nodiscard]] time_point earliestEnd() const;
    [[nodiscard]] double slowness() const; // the higher of the two ratios

    version_move m_spec;
    std::uint64_t m_id;
    move_state m_state = move_state::Waiting;
    std::size_t m_step = 0; // only grows
    std::uint32_t m_cap = 1;
    std::uint64_t m_answers = 0;          // of the new version, whole ones
    bool m_suspect = false;               // some test leans against the new version: no higher step
    bool m_passed = false;                // every test of every route with traffic has passed
    std::array<double, 2> m_slowness{};   // log likelihood ratios of the two tests of slowness, over all routes whose usual latency is known
    bool m_baselineKnown = false;         // there is such a route
    time_point m_readySince = noDeadline; // since when the verdict could be Done
    bool m_ready = false;                 // it has been for long enough
    std::string m_reason;
};

} // namespace chicoryrouter
