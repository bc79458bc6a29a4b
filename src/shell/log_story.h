// One request's story from saved log lines: its own lines, and what the daemon came to believe meanwhile about what the request met.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace chicoryrouter {

// The lines as words, oldest first; empty when the log holds none of the request. Lines that are no JSON objects are passed over, and
// whatever stands before an object on its line is too, so that logs collected with a prefix can be read as they are.
std::vector<std::string> requestHistory(std::istream &log, const std::string &request);

} // namespace chicoryrouter
