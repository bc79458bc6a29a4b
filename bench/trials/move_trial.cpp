// Traffic and badness of one version move.
#include "trials/move_trial.h"

#include "chicoryrouter/units.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace chicoryrouter::trials {

namespace {

using namespace std::chrono_literals;

constexpr double badFailureRate = 0.33;
constexpr double slowBy = 1.5;
constexpr duration lateAfter = 5s;
constexpr std::uint64_t showsAfter = 50;                             // answers that met the badness
constexpr std::array<double, 3> routeFirstToken = {0.9, 0.25, 0.15}; // seconds, by route
constexpr double spreadOfLatency = 0.3;                              // sigma of its logarithm
constexpr const char *service = "writer";

class move_trial
{
public:
    explicit move_trial(const move_trial_options &options)
        : m_options(options)
        , m_random(options.seed * 31 + 7)
        , m_all(clusterOptions(options))
    {
        m_start = m_all.now() + 5s;
        m_end = m_start + options.window;
        m_all.putDocument(1, documentText());
        m_all.surroundings = [this](std::size_t, const version_move &) {
            return surroundings();
        };
        disturb();
    }

    move_trial_result run()
    {
        m_all.at(m_start, [this] { arrive(); });
        while (m_all.now() < m_end + 2s && !isSettled()) {
            m_all.runFor(1s);
            look();
        }
        m_result.everyoneEnded = everyoneEnded();
        m_all.storeDown = false;
        m_all.runFor(15s);
        look();
        finish();
        return m_result;
    }

private:
    static cluster_options clusterOptions(const move_trial_options &options)
    {
        cluster_options result;
        result.domains = spreadOver(options.sizes.daemons, options.sizes.domains);
        result.loss = options.loss;
        result.noteInterval = options.noteInterval;
        result.seed = options.seed;
        return result;
    }

    std::string documentText() const
    {
        const std::string concurrency = std::to_string(m_options.sizes.maxConcurrency);
        std::string text = "services:\n  - name: writer\n    kind: model\n    current_version: v1\n    versions:\n      - {name: v1, max_concurrency: "
            + concurrency + "}\n      - {name: v2, max_concurrency: " + concurrency + "}\nfailure_domains:\n";
        for (std::size_t i = 0; i < m_options.sizes.domains; ++i) {
            text += "  - {name: d" + std::to_string(i) + ", region: r}\n";
        }
        text += "accounts:\n  - {name: a, max_in_flight: 100, token_hashes: [" + std::string(64, 'a') + "]}\nroutes:\n";
        for (std::size_t i = 0; i < m_options.sizes.routeShares.size(); ++i) {
            text += "  - {name: r" + std::to_string(i) + ", service: writer, repeatable: true, deadline: 60s}\n";
        }
        return text + "moves:\n  - {service: writer, from: v1, to: v2, start_at: " + formatTimestamp(m_start) + ", done_by: " + formatTimestamp(m_end) + "}\n";
    }

    void disturb()
    {
        if (m_options.storeDownFor > duration{}) {
            m_all.at(m_start + m_options.storeDownFrom, [this] { m_all.storeDown = true; });
            m_all.at(m_start + m_options.storeDownFrom + m_options.storeDownFor, [this] { m_all.storeDown = false; });
        }
        if (!m_options.domainCut.empty()) {
            m_all.at(m_start + m_options.window / 3, [this] { m_all.cutDomain(m_options.domainCut, true); });
            m_all.at(m_start + m_options.window * 2 / 3, [this] { m_all.cutDomain(m_options.domainCut, true, false); });
        }
        if (m_options.daemonsReplaced) {
            m_all.at(m_start + m_options.window / 4, [this] { m_all.restart(0); });
            m_all.at(m_start + m_options.window / 2, [this] { m_all.restart(1); });
        }
    }

    double uniform() { return static_cast<double>(m_random.next() >> 11U) * 0x1.0p-53; }

    double normal()
    {
        const double radius = std::sqrt(-2.0 * std::log(1.0 - uniform()));
        return radius * std::cos(2.0 * std::numbers::pi * uniform());
    }

    move_context surroundings() const { return {m_openOld + m_openNew, m_options.sizes.endpoints, m_options.sizes.maxConcurrency}; }

    void arrive()
    {
        if (m_all.now() >= m_end) {
            return;
        }
        const double gap = -std::log(1.0 - uniform()) / m_options.sizes.requestsPerSecond;
        m_all.at(m_all.now() + duration(static_cast<std::int64_t>(gap * 1e6)), [this] { arrive(); });
        const std::size_t node = livingNode();
        request(node, drawRoute());
    }

    std::size_t livingNode()
    {
        while (true) {
            const std::size_t node = uniformBelow(m_random, m_all.size());
            if (m_all.isLiving(node)) {
                return node;
            }
        }
    }

    std::size_t drawRoute()
    {
        double draw = uniform();
        for (std::size_t i = 0; i + 1 < m_options.sizes.routeShares.size(); ++i) {
            if (draw < m_options.sizes.routeShares[i]) {
                return i;
            }
            draw -= m_options.sizes.routeShares[i];
        }
        return m_options.sizes.routeShares.size() - 1;
    }

    std::uint32_t usedEndpoints(const version_mover &mover) const
    {
        return mover.endpointCap() == 0 ? m_options.sizes.endpoints : std::min(mover.endpointCap(), m_options.sizes.endpoints);
    }

    // How full the endpoints of the new version are that may be used now.
    double newLoad(const version_mover &mover) const { return static_cast<double>(m_openNew) / (usedEndpoints(mover) * m_options.sizes.maxConcurrency); }

    void request(std::size_t node, std::size_t route)
    {
        const auto &moves = m_all.at(node).moves();
        const auto found = moves.find(service);
        const bool moving = found != moves.end() && m_all.now() >= m_start + m_options.newReadyAfter;
        const bool full = moving && newLoad(found->second) >= 1.0 && found->second.share() < 500;
        const bool toNew = moving && uniformBelow(m_random, 1000) < found->second.share() && !full;
        const bool bad = toNew && meetsBadness(route, newLoad(found->second));
        const double failing = bad && m_options.kind != badness::SlowsByHalf ? badFailureRate : m_options.oldFailureRate;
        const double slowness = bad && m_options.kind == badness::SlowsByHalf ? slowBy : 1.0;
        const double firstToken = routeFirstToken[route % routeFirstToken.size()] * std::exp(spreadOfLatency * normal()) * slowness;
        const bool fails = uniform() < failing;
        if (bad) {
            noteExposure();
        }
        std::uint32_t &open = toNew ? m_openNew : m_openOld;
        ++open;
        const duration took = fails ? duration(100ms) : duration(static_cast<std::int64_t>(firstToken * 1e6));
        const duration total = fails ? took : took + m_options.sizes.answerTime;
        const std::string endpoint = toNew ? "n" + std::to_string(uniformBelow(m_random, usedEndpoints(found->second))) : "o";
        attempt_outcome outcome{endpoint, service, toNew ? "v2" : "v1", "r" + std::to_string(route), attempt_result::Failed, {}};
        if (!fails) {
            outcome.result = attempt_result::FirstTokenReceived;
            outcome.firstToken = took;
            m_all.at(m_all.now() + took, [this, node, outcome] { m_all.at(node).onOutcome(outcome, m_all.now()); });
            outcome.result = attempt_result::Completed;
            outcome.firstTokenReported = true;
        }
        m_all.at(m_all.now() + total, [this, node, toNew, outcome, bad] {
            --(toNew ? m_openNew : m_openOld);
            noteAnswer(bad);
            m_all.at(node).onOutcome(outcome, m_all.now());
        });
    }

    bool meetsBadness(std::size_t route, double load) const
    {
        switch (m_options.kind) {
        case badness::None:
            return false;
        case badness::FailsAtOnce:
        case badness::SlowsByHalf:
            return true;
        case badness::FailsUnderLoad:
            return load > 0.5;
        case badness::FailsOnOneRoute:
            return route == 2;
        case badness::BadAfterTenMinutes:
            return m_all.now() >= m_start + 10min;
        }
        return false;
    }

    void noteExposure()
    {
        ++m_result.exposed;
        if (m_firstExposure == noDeadline) {
            m_firstExposure = m_all.now();
        }
        m_result.firstExposureToEnd = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_all.now() - m_firstExposure).count());
        if (m_condemnedAt != noDeadline && m_all.now() > m_condemnedAt + lateAfter) {
            ++m_result.exposedLate;
        }
        m_result.exposedPastBound += m_shownAt != noDeadline && m_all.now() > m_shownAt + lateAfter ? 1 : 0;
    }

    void noteAnswer(bool bad)
    {
        m_badAnswers += bad ? 1 : 0;
        if (m_badAnswers == showsAfter && m_shownAt == noDeadline) {
            m_shownAt = m_all.now();
        }
    }

    void look()
    {
        for (std::size_t i = 0; i < m_all.size(); ++i) {
            const auto &moves = m_all.at(i).moves();
            const auto found = moves.find(service);
            if (found == moves.end() || !m_all.isLiving(i)) {
                continue;
            }
            m_id = found->second.id();
            if (found->second.state() == move_state::Rejected && m_condemnedAt == noDeadline) {
                m_condemnedAt = m_all.now();
                m_result.reason = found->second.reason();
            }
        }
        if (m_result.endedAfter == duration{} && !m_all.verdictOf(m_id).empty()) {
            m_result.endedAfter = m_all.now() - m_start;
        }
    }

    // The verdict has been recorded for a while: nothing more can happen within this move.
    bool isSettled() const { return m_result.endedAfter != duration{} && m_all.now() > m_start + m_result.endedAfter + 15s; }

    bool everyoneEnded()
    {
        for (std::size_t i = 0; i < m_all.size(); ++i) {
            if (!m_all.isLiving(i)) {
                continue;
            }
            const auto found = m_all.at(i).moves().find(service);
            if (found == m_all.at(i).moves().end() || found->second.state() == move_state::Waiting || found->second.state() == move_state::Moving) {
                return false;
            }
        }
        return true;
    }

    void finish()
    {
        const std::optional<move_outcome> verdict = decodeOutcome(m_all.verdictOf(m_id));
        m_result.requests = static_cast<std::uint64_t>(m_options.sizes.requestsPerSecond * std::chrono::duration<double>(m_options.window).count());
        m_result.recorded = verdict.has_value();
        m_result.verdict = verdict.value_or(move_outcome::RolledBack);
    }

    move_trial_options m_options;
    seeded_random m_random;
    cluster m_all;
    time_point m_start{};
    time_point m_end{};
    std::uint32_t m_openOld = 0;
    std::uint32_t m_openNew = 0;
    std::uint64_t m_id = 0;
    time_point m_firstExposure = noDeadline;
    time_point m_condemnedAt = noDeadline;
    std::uint64_t m_badAnswers = 0;
    time_point m_shownAt = noDeadline; // when there were `showsAfter` of them
    move_trial_result m_result;
};

} // namespace

std::string_view toText(badness kind)
{
    constexpr std::array<std::string_view, 6> names = {"good", "fails at once", "slows by half", "fails under load", "fails on one route", "bad after 10 min"};
    return names.at(static_cast<std::size_t>(kind));
}

move_sizes aspenCoulee()
{
    return {"aspen-coulee", 8, 4, 18, 12, 20.0, std::chrono::seconds(6), {0.2, 0.5, 0.3}};
}

move_sizes tablesArmor()
{
    return {"tables-armor", 6, 4, 12, 10, 10.0, std::chrono::seconds(7), {0.25, 0.55, 0.2}};
}

move_trial_result runMoveTrial(const move_trial_options &options)
{
    return move_trial(options).run();
}

} // namespace chicoryrouter::trials
