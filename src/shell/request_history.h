// Extracts the history of one request from a saved log: its own lines, and the changes of cluster state that the daemon logged meanwhile.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace chicoryrouter {

// Returns the lines as readable text in the order of the log: the request's lines (prefix "  "), and between the first and the last of them
// the general events and the events of the endpoints that the request used (prefix "~ "). Empty when no line names the request.
// Lines without a JSON object are skipped, and so is any text before the object, so that logs collected with a line prefix can be read.
std::vector<std::string> requestHistory(std::istream &log, const std::string &request);

} // namespace chicoryrouter
