// Version moves: how often a verdict is right, how many requests meet a bad version, and for how long.
#include "benchmarks.h"

#include "parallel.h"
#include "trials/move_trial.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_int32(move_runs, 200, "moves: seeded runs per row");

namespace chicoryrouter::bench {

namespace {

using namespace trials;

void printRow(const move_sizes &sizes, badness kind)
{
    const auto results = inParallel<move_trial_result>(static_cast<std::size_t>(FLAGS_move_runs), [&](std::size_t run) {
        move_trial_options options;
        options.sizes = sizes;
        options.kind = kind;
        options.seed = run + 1;
        return runMoveTrial(options);
    });
    std::size_t done = 0;
    std::size_t late = 0;
    std::size_t notEnded = 0;
    double worstExposed = 0.0;
    double sumExposed = 0.0;
    double sumSeconds = 0.0;
    for (const move_trial_result &result : results) {
        done += result.recorded && result.verdict == move_outcome::Done ? 1 : 0;
        late += result.exposedLate > 0 ? 1 : 0;
        notEnded += result.everyoneEnded ? 0 : 1;
        const double exposed = 100.0 * static_cast<double>(result.exposed) / static_cast<double>(result.requests);
        worstExposed = std::max(worstExposed, exposed);
        sumExposed += exposed;
        sumSeconds += static_cast<double>(result.firstExposureToEnd) / 1000.0;
    }
    const auto count = static_cast<double>(results.size());
    std::printf("%-13s %-19s %6zu %7zu %11.3f %10.3f %11.1f %8zu %9zu\n", sizes.name.c_str(), std::string(toText(kind)).c_str(), results.size(), done,
        sumExposed / count, worstExposed, sumSeconds / count, late, notEnded);
}

} // namespace

void moves()
{
    std::printf(
        "%-13s %-19s %6s %7s %11s %10s %11s %8s %9s\n", "deployment", "new version", "runs", "done", "exposed %", "worst %", "exposed s", "late", "not ended");
    for (const move_sizes &sizes : {aspenCoulee(), tablesArmor()}) {
        for (const badness kind :
            {badness::None, badness::FailsAtOnce, badness::SlowsByHalf, badness::FailsUnderLoad, badness::FailsOnOneRoute, badness::BadAfterTenMinutes}) {
            printRow(sizes, kind);
        }
    }
}

} // namespace chicoryrouter::bench
