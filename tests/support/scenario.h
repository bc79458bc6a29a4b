// The scenario language: one step a line, run against a world under virtual time. docs/SCENARIOS.md teaches it.
#pragma once

#include <string>

namespace chicoryrouter::test {

struct scenario_result
{
    std::string transcript; // every decision and answer, then what was broken
    bool good = false;      // all expectations and all standing promises held
    std::string faults;     // one line each, with the scenario's line number; empty when good
};

scenario_result runScenario(const std::string &text); // throws std::runtime_error naming the line that is no step

} // namespace chicoryrouter::test
