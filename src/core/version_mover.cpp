// Steps, statistical tests and outcome of a version move.
#include "chicoryrouter/version_mover.h"

#include "chicoryrouter/hash.h"
#include "chicoryrouter/routing_table.h"
#include "chicoryrouter/units.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

struct ramp_step
{
    std::uint32_t share;                 // thousandths of the service's traffic
    std::uint64_t answersNeeded;         // of the new version on all routes, before this step; short moves also count answers that have only started
    std::uint64_t answersNeededPerRoute; // completed ones on each route that has traffic
};

// The steps of a move's share, and the conditions for its success.
struct ramp_plan
{
    std::array<ramp_step, 5> steps;
    std::uint64_t answersForDone; // completed answers of the new version on all routes
    double failurePassBound;      // log likelihood ratio at or below which a route's failure test passes
    double slownessPassBound;     // the same for slowness over all routes; required for each higher step once a baseline is known
    duration readyTime;           // time at full share with all tests passed before the outcome Done; longer than a rejection takes to reach all daemons
    duration deadlineMargin;      // time before the deadline within which the outcome can no longer be Done
};

constexpr ramp_plan longRamp{{{{10, 0, 0}, {50, 20, 3}, {200, 80, 8}, {500, 250, 15}, {totalShare, 500, 20}}}, 800, -9.2, 0.0, 5s, 2s};
// A move that has only seconds starts at the highest share allowed for an untested version, and requires fewer answers.
constexpr ramp_plan shortRamp{{{{100, 0, 0}, {100, 10, 1}, {300, 35, 2}, {600, 60, 3}, {totalShare, 100, 4}}}, 150, -1.0, -3.0, 2s, 700ms};
constexpr duration shortMoveLimit = 2min;

bool isShortMove(const version_move &move)
{
    return move.doneBy - move.startAt < shortMoveLimit;
}

const ramp_plan &rampOf(const version_move &move)
{
    return isShortMove(move) ? shortRamp : longRamp;
}

// Sequential test of failures: the new version fails at the old version's rate, or at that rate plus failureRateIncrease.
constexpr double minFailureRate = 0.01;
constexpr double failureRateIncrease = 0.08;
// Sequential tests of slowness: the fraction of answers above a percentile of the old version's latency is that of a good version or that
// of a bad one. The first test detects versions that are slow throughout, the second those that are slow occasionally.
struct slowness_test
{
    double percentile;
    double goodFraction; // fraction of a good version's answers above the percentile
    double badFraction;
};

constexpr std::array<slowness_test, 2> slownessTests{{{0.70, 0.35, 0.70}, {0.90, 0.15, 0.37}}};
// Upper bound of the log likelihood ratio: a good version crosses it with probability below exp(-8) per test. A bad version crosses the lower
// bound of a long move, failurePassBound, with probability below exp(-9.2).
constexpr double rejectBound = 8.0;
constexpr std::uint64_t maxUndecidedAnswers = 45;  // of the new version in a short move; a version that is still undecided after that is rejected
constexpr std::size_t lastInitialStep = 1;         // the last step at which a short move still has its initial share
constexpr double regressionBound = 2.0;            // above this log likelihood ratio, the share doesn't rise
constexpr std::uint64_t minBaselineLatencies = 30; // latencies of the old version on a route before they serve as its baseline
constexpr double minRouteFraction = 0.02;          // of the old version's answers; routes with less are ignored by the steps

constexpr duration maxSoakTime = 15min;   // earliest outcome Done after the start, unless half the move's duration is shorter
constexpr double targetUtilization = 0.7; // of the new version's endpoints in use; high, so that faults under load show early

double failureRatio(const evidence_counts &candidate, const evidence_counts &baseline)
{
    const double baselineRate = static_cast<double>(baseline.failed) / static_cast<double>(std::max<std::uint64_t>(baseline.answered, 1));
    const double goodRate = std::clamp(baselineRate, minFailureRate, 0.9 - failureRateIncrease);
    const double badRate = goodRate + failureRateIncrease;
    const double failed = static_cast<double>(candidate.failed);
    const double succeeded = static_cast<double>(candidate.answered - candidate.failed);
    return failed * std::log(badRate / goodRate) + succeeded * std::log((1.0 - badRate) / (1.0 - goodRate));
}

double slownessRatio(const slowness_test &test, const evidence_counts &candidate, const evidence_counts &baseline)
{
    const double slow = static_cast<double>(candidate.countAbove(baseline.percentileBucket(test.percentile)));
    const double fast = static_cast<double>(candidate.latencyCount()) - slow;
    return slow * std::log(test.badFraction / test.goodFraction) + fast * std::log((1.0 - test.badFraction) / (1.0 - test.goodFraction));
}

} // namespace

std::uint64_t moveId(const version_move &move)
{
    if (move.orderId != 0) {
        return hashBytes(move.service + "\n" + move.to + "\n" + std::to_string(move.orderId));
    }
    return hashBytes(move.service + "\n" + move.from + "\n" + move.to + "\n" + formatTimestamp(move.startAt) + "\n" + formatTimestamp(move.doneBy));
}

std::string outcomeKey(std::uint64_t move)
{
    return "verdict-" + std::to_string(move);
}

std::string encodeOutcome(move_outcome outcome, const std::string &reason)
{
    return (outcome == move_outcome::Done ? "done " : "taken_back ") + reason;
}

std::optional<move_outcome> decodeOutcome(std::string_view text)
{
    const std::string_view word = text.substr(0, text.find(' '));
    if (word == "done") {
        return move_outcome::Done;
    }
    return word == "taken_back" ? std::optional(move_outcome::RolledBack) : std::nullopt;
}

std::string_view toText(move_state state)
{
    constexpr std::array<std::string_view, 6> names = {"waiting", "moving", "condemned", "overdue", "done", "taken_back"};
    return names.at(static_cast<std::size_t>(state));
}

version_mover::version_mover(version_move move)
    : m_spec(std::move(move))
    , m_id(moveId(m_spec))
{
}

time_point version_mover::earliestEnd() const
{
    const duration window = m_spec.doneBy - m_spec.startAt;
    return m_spec.startAt + std::min(maxSoakTime, window / 2);
}

void version_mover::update(const evidence_store &evidence, const move_context &context, time_point now)
{
    if (isOver() || m_state == move_state::Rejected) {
        return;
    }
    if (m_spec.timeLimit > duration{} && m_spec.startAt == time_point{}) {
        // A daemon that starts during a move takes the move's start time from the record. Clocks differ between daemons, so the start is clamped:
        // not later than now, and not so early that the move would be over.
        const bool recorded = m_spec.firstSeenAt != time_point{};
        m_spec.startAt = recorded ? std::clamp(m_spec.firstSeenAt, now - m_spec.timeLimit, now) : now;
        m_spec.doneBy = m_spec.startAt + m_spec.timeLimit;
    }
    const duration recordingMargin = isShort() ? rampOf(m_spec).deadlineMargin : duration(); // leaves time to record the rollback
    if (now >= m_spec.doneBy - recordingMargin) {
        m_state = move_state::Overdue;
        m_reason = "no outcome before the deadline";
        return;
    }
    if (now < m_spec.startAt) {
        return;
    }
    m_state = move_state::Moving;
    testRoutes(evidence);
    if (m_state == move_state::Moving) {
        raiseShare(evidence, now);
        limitEndpoints(context);
    }
}

bool version_mover::isShort() const
{
    return isShortMove(m_spec);
}

void version_mover::testRoutes(const evidence_store &evidence)
{
    m_regressionLikely = false;
    m_passed = true;
    m_slowness = {};
    m_baselineKnown = false;
    for (const std::string &route : evidence.routes(m_id)) {
        testRoute(evidence, route);
    }
    // The sum over all routes detects a version that is slow everywhere long before the test of a single route does.
    if (slowness() >= rejectBound) {
        reject("new version is slower than the old version over all routes");
    }
    m_regressionLikely = m_regressionLikely || slowness() > regressionBound;
}

double version_mover::slowness() const
{
    return *std::max_element(m_slowness.begin(), m_slowness.end());
}

void version_mover::testRoute(const evidence_store &evidence, const std::string &route)
{
    const evidence_counts candidate = evidence.total({m_id, m_spec.to, route});
    const evidence_counts baseline = evidence.total({m_id, m_spec.from, route});
    const double failures = failureRatio(candidate, baseline);
    const bool baselineKnown = baseline.latencyCount() >= minBaselineLatencies;
    double slowest = 0.0; // higher log likelihood ratio of the two tests on this route
    for (std::size_t i = 0; i < slownessTests.size() && baselineKnown; ++i) {
        const double ratio = slownessRatio(slownessTests.at(i), candidate, baseline);
        m_slowness.at(i) += ratio;
        slowest = std::max(slowest, ratio);
    }
    m_baselineKnown = m_baselineKnown || baselineKnown;
    if (failures >= rejectBound) {
        reject("new version fails on route " + route + ": " + std::to_string(candidate.failed) + " of " + std::to_string(candidate.answered) + " answers");
    } else if (slowest >= rejectBound) {
        reject("new version is slower than the old version on route " + route);
    }
    m_regressionLikely = m_regressionLikely || failures > regressionBound || slowest > regressionBound;
    m_passed = m_passed && failures <= rampOf(m_spec).failurePassBound;
}

void version_mover::raiseShare(const evidence_store &evidence, time_point now)
{
    const ramp_plan &ramp = rampOf(m_spec);
    std::uint64_t answers = 0; // completed ones
    std::uint64_t startedAnswers = 0;
    std::uint64_t baselineAnswers = 0;
    const std::vector<std::string> routes = evidence.routes(m_id);
    for (const std::string &route : routes) {
        const evidence_counts candidate = evidence.total({m_id, m_spec.to, route});
        answers += candidate.answered;
        startedAnswers += isShort() ? candidate.startedCount() : candidate.answered;
        baselineAnswers += evidence.total({m_id, m_spec.from, route}).answered;
    }
    const auto everyRouteHas = [&](std::uint64_t wanted) {
        return std::all_of(routes.begin(), routes.end(), [&](const std::string &route) {
            const auto baseline = static_cast<double>(evidence.total({m_id, m_spec.from, route}).answered);
            const bool counts = baseline >= minRouteFraction * static_cast<double>(baselineAnswers);
            return !counts || evidence.total({m_id, m_spec.to, route}).answered >= wanted;
        });
    };
    m_answers = answers;
    // The bound of short moves is below zero, because missing evidence doesn't prove that the version is fast.
    const bool mayBeSlow = m_baselineKnown && slowness() > ramp.slownessPassBound;
    const bool inDoubt = m_step <= lastInitialStep ? mayBeSlow : slowness() > 0.0;
    if (isShort() && m_baselineKnown && inDoubt && startedAnswers >= maxUndecidedAnswers) {
        reject("new version was not shown to be as fast as the old version after " + std::to_string(startedAnswers) + " answers");
        return;
    }
    while (m_step + 1 < ramp.steps.size() && !m_regressionLikely && !mayBeSlow && startedAnswers >= ramp.steps[m_step + 1].answersNeeded
        && everyRouteHas(ramp.steps[m_step + 1].answersNeededPerRoute)) {
        ++m_step;
    }
    const bool allPassed = m_step + 1 == ramp.steps.size() && m_passed && !m_regressionLikely && answers >= ramp.answersForDone && now >= earliestEnd();
    if (!allPassed) {
        m_readySince = noDeadline;
        m_ready = false;
        return;
    }
    m_readySince = std::min(m_readySince, now);
    m_ready = now >= m_readySince + ramp.readyTime && now < m_spec.doneBy - ramp.deadlineMargin;
}

// Limits the number of endpoints used by the new version. A small share spread over many endpoints would never load any of them, and faults
// under load would show only at full share.
void version_mover::limitEndpoints(const move_context &context)
{
    if (share() == totalShare) {
        m_cap = 0;
        return;
    }
    const double open = static_cast<double>(context.openRequests) * share() / totalShare;
    const double perEndpoint = targetUtilization * std::max(context.newMaxConcurrency, 1U);
    m_cap = std::max(1U, static_cast<std::uint32_t>(std::ceil(open / perEndpoint)));
}

void version_mover::reject(std::string reason)
{
    if (m_state != move_state::Rejected && !isOver()) {
        m_state = move_state::Rejected;
        m_reason = std::move(reason);
    }
}

void version_mover::onPeerUpdate(const move_update &peerUpdate)
{
    if (peerUpdate.move != m_id || isOver()) {
        return;
    }
    switch (peerUpdate.kind) {
    case move_update_kind::Rejected:
        reject(peerUpdate.reason);
        break;
    case move_update_kind::RolledBack:
        m_reason = peerUpdate.reason;
        onOutcome(move_outcome::RolledBack);
        break;
    case move_update_kind::Done:
        onOutcome(move_outcome::Done);
        break;
    }
}

void version_mover::onOutcome(move_outcome outcome)
{
    m_state = outcome == move_outcome::Done ? move_state::Done : move_state::RolledBack;
}

std::uint32_t version_mover::share() const
{
    switch (m_state) {
    case move_state::Moving:
        // A short move has no time to wait at a high share until the tests decide, so a version with a likely regression goes back to the first
        // share.
        return rampOf(m_spec).steps[isShort() && m_regressionLikely ? 0 : m_step].share;
    case move_state::Done:
        return totalShare;
    case move_state::Waiting:
    case move_state::Rejected:
    case move_state::Overdue:
    case move_state::RolledBack:
        return 0;
    }
    return 0;
}

std::optional<move_outcome> version_mover::dueOutcome() const
{
    if (m_state == move_state::Rejected || m_state == move_state::Overdue) {
        return move_outcome::RolledBack;
    }
    return m_state == move_state::Moving && m_ready ? std::optional(move_outcome::Done) : std::nullopt;
}

std::optional<move_update> version_mover::updateForPeers() const
{
    switch (m_state) {
    case move_state::Rejected:
        return move_update{m_id, move_update_kind::Rejected, m_reason};
    case move_state::RolledBack:
        return move_update{m_id, move_update_kind::RolledBack, m_reason};
    case move_state::Done:
        return move_update{m_id, move_update_kind::Done, m_reason};
    case move_state::Waiting:
    case move_state::Moving:
    case move_state::Overdue:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace chicoryrouter
