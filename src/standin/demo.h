// The demo's deployment and its scenes.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace chicoryrouter {

std::vector<std::string> demoFaults();                                       // names of the faults that can be played
bool runDemoScenarios(std::ostream &out);                                            // true when every answer was whole and right
bool runFaultScenario(std::ostream &out, const std::string &name);                  // the same for one of demoFaults(); throws error(BadRequest) for another name
void serveDemo(std::ostream &out, const std::function<void()> &waitForStop); // keeps the deployment up and says where it listens

} // namespace chicoryrouter
