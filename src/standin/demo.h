// The demo: starts a small deployment on loopback, runs scenarios against it and prints the result of each.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace chicoryrouter {

std::vector<std::string> demoFaults();                             // names that runFaultScenario() accepts
bool runDemoScenarios(std::ostream &out);                          // normal operation; returns true if every answer was complete and correct
bool runFaultScenario(std::ostream &out, const std::string &name); // one of demoFaults(), same return value; throws error(BadRequest) for an unknown name
void serveDemo(std::ostream &out, const std::function<void()> &waitForStop); // prints the tokens and the gateway address, then blocks in waitForStop()

} // namespace chicoryrouter
