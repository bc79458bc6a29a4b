// The control strand's part in version moves: it applies traffic shares to the fleet, records the outcomes of moves in the key-value service,
// and logs each change.
#include "chicoryrouter/hash.h"
#include "shell/clock.h"
#include "shell/control.h"
#include "shell/log.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration outcomeLoopInterval = 500ms;
constexpr std::size_t outcomeWritersPerDomain = 2; // daemons of each failure domain that read and record a move's outcome
constexpr duration outcomePollInterval = 5s;       // how often the outcome of an unfinished move is read
constexpr duration storeTimeout = 1s;

void logMove(const version_mover &mover)
{
    const version_move &spec = mover.spec();
    const move_progress progress = mover.progress();
    logEvent(log_event::MoveChanged,
        {{"service", spec.service}, {"from", spec.from}, {"to", spec.to}, {"state", toText(mover.state())}, {"share", mover.share()}, {"step", progress.step},
            {"answers", progress.answers}, {"slowness", progress.slowness}, {"passed", progress.passed}, {"leaning", progress.regressionLikely},
            {"why", mover.reason()}});
}

} // namespace

void control::refreshMoves()
{
    if (m_clusterState.moves().empty() && m_loggedMoves.empty()) {
        return;
    }
    const auto contextOf = [this](const version_move &move) {
        move_context result;
        const service *movedService = m_clusterState.documents().current()->content.findService(move.service);
        for (const version_spec &version : movedService->versions) {
            result.newMaxConcurrency = version.name == move.to ? version.maxConcurrency : result.newMaxConcurrency;
        }
        for (const endpoint_status &status : m_fleet.status()) {
            const bool isUsable = status.info->service == move.service && status.info->use == endpoint_use::Usable;
            result.openRequests += isUsable ? status.report.running + status.report.queued : 0;
            result.newEndpoints += isUsable && status.info->version == move.to ? 1 : 0;
        }
        return result;
    };
    m_clusterState.updateMoves(contextOf, systemNow());
    std::map<std::string, logged_move> currentMoves;
    bool changed = false;
    for (const auto &[service, mover] : m_clusterState.moves()) {
        const auto before = m_loggedMoves.find(service);
        const logged_move currentMove{mover.state(), mover.share()};
        if (before == m_loggedMoves.end() || before->second != currentMove) {
            changed = true;
            logMove(mover);
        }
        currentMoves[service] = currentMove;
        // Endpoints of a version that was rolled back get no requests. The block stays when the document withdraws the move while such endpoints still run.
        m_fleet.setVersionBlocked(service, mover.spec().to, mover.state() == move_state::RolledBack);
    }
    changed = changed || currentMoves.size() != m_loggedMoves.size();
    m_loggedMoves = std::move(currentMoves);
    const std::vector<version_share> shares = m_clusterState.shares();
    if (changed || !m_fleet.hasShares(shares)) {
        m_fleet.setShares(shares);
        publish();
    }
}

asio::awaitable<void> control::runOutcomeLoop()
{
    std::map<std::string, time_point> nextLookup;
    while (true) {
        co_await pause(outcomeLoopInterval);
        std::vector<std::string> services;
        for (const auto &[service, mover] : m_clusterState.moves()) {
            const bool isFinished = mover.state() == move_state::Done || mover.state() == move_state::RolledBack;
            const bool isDue = mover.dueOutcome().has_value() || systemNow() >= nextLookup[service];
            // Two daemons of each failure domain access the key-value service; the others learn the outcome by gossip.
            if (!isFinished && isDue && m_clusterState.members().isSelectedFor("verdict-" + service, outcomeWritersPerDomain)) {
                services.push_back(service);
            }
        }
        for (const std::string &service : services) {
            // The first selected daemon of each failure domain records an outcome immediately; the second only when none is there by its next lookup.
            const bool isFirstWriter = m_clusterState.members().isSelectedFor("verdict-" + service, 1);
            if (isFirstWriter || systemNow() >= nextLookup[service]) {
                nextLookup[service] = systemNow() + outcomePollInterval;
                co_await readOrRecordOutcome(service);
            }
        }
    }
}

// Reads the stored outcome, or records the one that is due. Returns true when an outcome was applied.
asio::awaitable<bool> control::readOrRecordOutcome(std::string service)
{
    const auto found = m_clusterState.moves().find(service);
    if (found == m_clusterState.moves().end()) {
        co_return false;
    }
    const std::uint64_t id = found->second.id();
    const std::optional<move_outcome> dueOutcome = found->second.dueOutcome();
    const std::string reason = found->second.reason();
    const std::string key = outcomeKey(id);
    store_reply reply = co_await m_store.get(key, systemNow() + storeTimeout);
    if (reply.outcome == store_outcome::NotFound && dueOutcome) {
        const store_reply written = co_await m_store.compareAndSwap(key, 0, encodeOutcome(*dueOutcome, reason), duration{}, systemNow() + storeTimeout);
        if (written.outcome == store_outcome::Ok) {
            reply = {store_outcome::Ok, written.version, encodeOutcome(*dueOutcome, reason)};
        } else {
            reply = co_await m_store.get(key, systemNow() + storeTimeout); // another daemon recorded an outcome first, or the reply was lost
        }
    }
    const std::optional<move_outcome> outcome = reply.outcome == store_outcome::Ok ? decodeOutcome(reply.value) : std::nullopt;
    const auto currentMove = m_clusterState.moves().find(service); // looked up again: the document may have changed during the calls
    if (!outcome || currentMove == m_clusterState.moves().end() || currentMove->second.id() != id) {
        co_return false;
    }
    currentMove->second.onOutcome(*outcome);
    refreshMoves();
    co_return true;
}

} // namespace chicoryrouter
