// Runs every scenario of tests/scenarios and compares its transcript with the golden file beside it.
// CHICORY_GOLDEN=write rewrites the golden files for review (`make golden`).
#include "support/files.h"
#include "support/scenario.h"
#include "test_paths.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace fs = std::filesystem;
using namespace chicoryrouter::test;

namespace {

bool rewrites()
{
    const char *mode = std::getenv("CHICORY_GOLDEN");
    return mode != nullptr && std::string(mode) == "write";
}

} // namespace

Test(scenarios, every_scenario_holds_and_matches_its_golden_file)
{
    int count = 0;
    for (const auto &entry : fs::directory_iterator(fs::path(CHICORY_SOURCE_DIR) / "tests/scenarios")) {
        if (entry.path().extension() != ".scn") {
            continue;
        }
        ++count;
        const scenario_result result = runScenario(readFile(entry.path()));
        cr_expect(result.good, "%s:\n%s", entry.path().filename().c_str(), result.faults.c_str());
        const fs::path golden = fs::path(entry.path()).replace_extension(".golden");
        if (rewrites()) {
            std::ofstream(golden) << result.transcript;
        }
        cr_expect(
            result.transcript == readFile(golden), "%s differs from its golden file; now:\n%s", entry.path().filename().c_str(), result.transcript.c_str());
    }
    cr_assert_gt(count, 0, "no scenario found");
}

Test(scenarios, a_line_that_is_no_step_is_named)
{
    try {
        runScenario("nodes 1\nat 1s dance\n");
        cr_assert_fail("the step was taken");
    } catch (const std::runtime_error &fault) {
        cr_assert_eq(std::string(fault.what()), "line 2: 'dance' is no step");
    }
}

Test(scenarios, the_same_seed_gives_the_same_transcript)
{
    const std::string text
        = "nodes 2\nseed 5\nengine e1 fd-1\nengine e2 fd-2\nat 0ms ask r1 chat tokens 20 node 1\nat 5ms ask r2 chat tokens 20 node 2\nat 100ms crash e1\n";
    cr_assert_eq(runScenario(text).transcript, runScenario(text).transcript);
}
