// Extracts the history of one request from a saved log.
#include "shell/request_history.h"

#include <nlohmann/json.hpp>

#include <set>

namespace chicoryrouter {

namespace {

using nlohmann::ordered_json;

// Events that can affect every request, not only those at one endpoint.
const std::set<std::string> generalEvents = {"document_in_force", "document_refused", "store_lost", "store_back", "store_history_gone", "members_changed",
    "move_changed", "daemon_stop_asked", "lines_left_out"};

std::string formatLine(const ordered_json &line)
{
    std::string text = line.value("at", std::string()) + " " + line.value("text", std::string());
    for (const auto &[name, value] : line.items()) {
        const bool shown = name != "at" && name != "text" && name != "level" && name != "event" && name != "request";
        if (shown) {
            text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

ordered_json parseObject(const std::string &line)
{
    const auto begin = line.find('{');
    return begin == std::string::npos ? ordered_json() : ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
}

bool hasValue(const ordered_json &line, const char *field, const std::string &value)
{
    const auto found = line.find(field);
    return found != line.end() && found->is_string() && found->get<std::string>() == value;
}

} // namespace

std::vector<std::string> requestHistory(std::istream &log, const std::string &request)
{
    std::vector<ordered_json> lines;
    std::size_t first = 0;
    std::size_t last = 0;
    std::set<std::string> usedEndpoints; // ids
    bool found = false;
    for (std::string text; std::getline(log, text);) {
        ordered_json line = parseObject(text);
        if (!line.is_object()) {
            continue;
        }
        if (hasValue(line, "request", request)) {
            first = found ? first : lines.size();
            last = lines.size();
            found = true;
            usedEndpoints.insert(line.value("endpoint", std::string()));
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::string> history;
    for (std::size_t i = first; found && i <= last; ++i) {
        const ordered_json &line = lines[i];
        const bool ofRequest = hasValue(line, "request", request);
        const bool isGeneral = generalEvents.count(line.value("event", std::string())) != 0;
        const bool ofEndpoint = !line.contains("request") && usedEndpoints.count(line.value("endpoint", std::string("?"))) != 0;
        if (ofRequest || isGeneral || ofEndpoint) {
            history.push_back((ofRequest ? "  " : "~ ") + formatLine(line));
        }
    }
    return history;
}

} // namespace chicoryrouter
