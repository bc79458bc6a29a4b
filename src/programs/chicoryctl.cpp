// Command line tool for operators: validates and applies the configuration document, and shows the state of a deployment.
#include "programs/program.h"

#include "chicoryrouter/document.h"
#include "chicoryrouter/error.h"
#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/request_history.h"
#include "standin/sync_client.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

DEFINE_string(at, "127.0.0.1:8080", "gateway address of any entry instance, as IP:PORT");
DEFINE_string(token, "", "operator token (default: the environment variable CHICORY_OPERATOR_TOKEN)");
DEFINE_string(log, "", "explain: read this saved log file instead of asking a daemon");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_int64(expect_revision, -1, "apply: the revision that the change is based on");
DEFINE_bool(yes, false, "apply, failure-domain, move: make the change; without this flag the command only shows what would change");
DEFINE_string(done_by, "", "move start: the time by which the move must be complete or is reverted, such as 2026-05-01T08:30:00Z");

namespace {

using namespace chicoryrouter;
using nlohmann::json;
using string_list = std::vector<std::string>;

constexpr const char *usage = "runs one of these commands on a running deployment (--at, --token) or a file:\n"
                              "  validate FILE                        check a document\n"
                              "  schema                               print the published JSON schema\n"
                              "  hash-token                           read a token from standard input, print its hash for a document\n"
                              "  show                                 print the document in force, and its revision to standard error\n"
                              "  diff FILE                            show what FILE would change\n"
                              "  apply FILE --expect_revision=N --yes put FILE in force if revision N still is in force\n"
                              "  status                               members, moves, failure domains, endpoints and why each is or isn't used\n"
                              "  explain REQUEST_ID                   routing decisions for one request, from the entry instance that served it;\n"
                              "                                       with --log=FILE from a saved log, where '~' marks events of the cluster\n"
                              "  failure-domain out|in NAME --yes     take a failure domain out of service, or back in\n"
                              "  move start SERVICE VERSION --done_by=TIME --yes\n"
                              "  move back SERVICE --yes              end a move: all traffic stays with the old version\n"
                              "  watch                                print changes of revision, members and moves until interrupted\n"
                              "Exit code: 0 success, 1 failed (nothing was changed unless the message says so), 2 wrong command line or invalid document.";

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw error(error_kind::BadRequest, path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

address gatewayAddress()
{
    const auto colon = FLAGS_at.rfind(':');
    unsigned port = 0;
    if (colon != std::string::npos) {
        std::from_chars(FLAGS_at.data() + colon + 1, FLAGS_at.data() + FLAGS_at.size(), port);
    }
    if (port == 0 || port > UINT16_MAX) {
        throw error(error_kind::BadRequest, "--at: expected an IP address and a port such as 10.0.0.1:8080");
    }
    return {FLAGS_at.substr(0, colon), static_cast<std::uint16_t>(port)};
}

// Calls the gateway given by --at. Throws std::runtime_error with the text of the error response if the status is not 200.
http_response call(const std::string &method, const std::string &target, const std::string &body = "")
{
    const char *fromEnvironment = std::getenv("CHICORY_OPERATOR_TOKEN");
    const std::string token = FLAGS_token.empty() && fromEnvironment != nullptr ? fromEnvironment : FLAGS_token;
    http_call request;
    request.method = method;
    request.target = target;
    request.headers = bearer(token);
    request.body = body;
    http_response response = sync_client().call(gatewayAddress(), std::move(request), std::chrono::seconds(10));
    if (response.status != 200) {
        const json answer = json::parse(response.body, nullptr, false);
        const json fault = answer.is_object() ? answer.value("error", json::object()) : json::object();
        const std::string text = fault.value("kind", "unexpected answer") + ": " + fault.value("message", "") + "\n" + fault.value("detail", "");
        throw std::runtime_error(text);
    }
    return response;
}

struct revisioned_text
{
    std::uint64_t revision = 0;
    std::string text;
};

revisioned_text documentInForce()
{
    const http_response response = call("GET", "/operator/document");
    return {std::stoull(std::string(findHeader(response.headers, "X-Revision"))), response.body};
}

void printTable(const string_list &titles, const std::vector<string_list> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < titles.size(); ++i) {
        std::size_t width = titles[i].size();
        for (const string_list &row : rows) {
            width = std::max(width, row[i].size());
        }
        widths.push_back(width);
    }
    const auto print = [&](const string_list &row) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
        }
        std::cout << "\n";
    };
    print(titles);
    for (const string_list &row : rows) {
        print(row);
    }
    std::cout << "\n";
}

void printList(const json &list, const string_list &fields)
{
    std::vector<string_list> rows;
    for (const json &item : list) {
        string_list row;
        for (const std::string &field : fields) {
            const json &value = item.at(field);
            row.push_back(value.is_string() ? value.get<std::string>() : value.dump());
        }
        rows.push_back(std::move(row));
    }
    printTable(fields, rows);
}

int printDifferences(const std::string &text)
{
    const json answer = json::parse(call("POST", "/operator/check", text).body);
    if (FLAGS_json) {
        std::cout << answer.dump(2) << "\n";
        return exitSuccess;
    }
    for (const json &line : answer["differences"]) {
        std::cout << line.get<std::string>() << "\n";
    }
    if (answer["differences"].empty()) {
        std::cout << "no differences from revision " << answer["revision"] << "\n";
    }
    return exitSuccess;
}

int apply(const std::string &text, std::int64_t expected)
{
    printDifferences(text);
    if (!FLAGS_yes) {
        std::cout << "nothing was changed; add --yes to put the document in force\n";
        return exitSuccess;
    }
    const json answer = json::parse(call("PUT", "/operator/document?expect-revision=" + std::to_string(expected), text).body);
    std::cout << "revision " << answer["revision"] << " accepted; in force everywhere within seconds (see 'status')\n";
    return exitSuccess;
}

// ---- Commands --------------------------------------------------------------------------------------------------------------------------

int validate(const string_list &arguments)
{
    parseDocument(readFile(arguments.at(0)));
    std::cout << arguments[0] << ": valid\n";
    return exitSuccess;
}

int schema(const string_list &)
{
    std::cout << documentSchema();
    return exitSuccess;
}

int hashStandardInput(const string_list &)
{
    std::string token;
    std::getline(std::cin, token);
    std::cout << hashToken(token) << "\n";
    return exitSuccess;
}

int show(const string_list &)
{
    const revisioned_text current = documentInForce();
    std::cerr << "revision " << current.revision << "\n";
    std::cout << current.text;
    return exitSuccess;
}

int diff(const string_list &arguments)
{
    const std::string text = readFile(arguments.at(0));
    parseDocument(text);
    return printDifferences(text);
}

int applyFile(const string_list &arguments)
{
    const std::string text = readFile(arguments.at(0));
    parseDocument(text);
    if (FLAGS_expect_revision < 0) {
        throw error(error_kind::BadRequest, "apply needs --expect_revision=N, the revision that the file is based on ('show' prints it)");
    }
    return apply(text, FLAGS_expect_revision);
}

int status(const string_list &)
{
    const json answer = json::parse(call("GET", "/operator/status").body);
    if (FLAGS_json) {
        std::cout << answer.dump(2) << "\n";
        return exitSuccess;
    }
    std::cout << "entry instance " << answer["instance"].get<std::string>() << " in " << answer["failure_domain"].get<std::string>() << ", "
              << (answer["ready"].get<bool>() ? "ready" : "not ready") << ", revision " << answer["revision"] << " in force, " << answer["open_requests"]
              << " requests open\n\n";
    printList(answer["failure_domains"], {"name", "region", "out"});
    printList(answer["members"], {"instance", "failure_domain", "state"});
    printList(answer["moves"], {"service", "from", "to", "state", "share", "done_by", "reason"});
    printList(answer["placement"], {"service", "holder", "planned", "per_hour", "bears_loss", "starts_open"});
    printList(answer["endpoints"], {"id", "service", "version", "failure_domain", "use", "limit", "slots", "in_flight"});
    return exitSuccess;
}

// Reads a saved log instead of asking the daemon, for a daemon that no longer runs or does not serve the operator API.
int explainFromLog(const std::string &request)
{
    std::ifstream file(FLAGS_log);
    if (!file) {
        throw error(error_kind::BadRequest, FLAGS_log + ": cannot be read");
    }
    const std::vector<std::string> history = requestHistory(file, request);
    if (history.empty()) {
        std::cerr << FLAGS_log << " has no lines for request " << request << "\n";
        return exitFailure;
    }
    for (const std::string &line : history) {
        std::cout << line << "\n";
    }
    return exitSuccess;
}

int explain(const string_list &arguments)
{
    if (!FLAGS_log.empty()) {
        return explainFromLog(arguments.at(0));
    }
    const json answer = json::parse(call("GET", "/operator/explain/" + arguments.at(0)).body);
    if (FLAGS_json) {
        std::cout << answer.dump(2) << "\n";
    } else {
        std::cout << answer["request_id"].get<std::string>() << " on " << answer["route"].get<std::string>() << " for " << answer["account"].get<std::string>()
                  << "\n"
                  << answer["decisions"].get<std::string>();
    }
    return exitSuccess;
}

// Edits the document in force and applies it with the same validation and the same compare-and-swap on the revision as 'apply'.
int editDocument(const std::function<void(YAML::Node &)> &edit)
{
    const revisioned_text current = documentInForce();
    YAML::Node root = YAML::Load(current.text);
    edit(root);
    YAML::Emitter out;
    out << root;
    const std::string text = std::string(out.c_str()) + "\n";
    parseDocument(text);
    return apply(text, static_cast<std::int64_t>(current.revision));
}

YAML::Node findNamed(const YAML::Node &list, const std::string &field, const std::string &name)
{
    for (const YAML::Node &item : list) {
        if (item[field].as<std::string>() == name) {
            return item;
        }
    }
    throw error(error_kind::BadRequest, "'" + name + "' is not in the document");
}

int failureDomain(const string_list &arguments)
{
    const std::string &direction = arguments.at(0);
    if (direction != "out" && direction != "in") {
        throw error(error_kind::BadRequest, "failure-domain: expected 'out' or 'in' as the first argument");
    }
    return editDocument([&](YAML::Node &root) { findNamed(root["failure_domains"], "name", arguments.at(1))["out"] = direction == "out"; });
}

void startMove(YAML::Node &root, const std::string &serviceName, const std::string &version)
{
    if (!parseTimestamp(FLAGS_done_by)) {
        throw error(error_kind::BadRequest, "move start needs --done_by=TIME, such as 2026-05-01T08:30:00Z");
    }
    YAML::Node move;
    move["service"] = serviceName;
    move["from"] = findNamed(root["services"], "name", serviceName)["current_version"].as<std::string>();
    move["to"] = version;
    move["start_at"] = formatTimestamp(systemNow());
    move["done_by"] = FLAGS_done_by;
    root["moves"].push_back(move);
}

void endMove(YAML::Node &root, const std::string &serviceName)
{
    YAML::Node kept(YAML::NodeType::Sequence);
    bool found = false;
    for (const YAML::Node &item : root["moves"]) {
        const bool matches = item["service"].as<std::string>() == serviceName;
        found = found || matches;
        if (!matches) {
            kept.push_back(item);
        }
    }
    if (!found) {
        throw error(error_kind::BadRequest, "service '" + serviceName + "' has no move in the document");
    }
    root["moves"] = kept;
}

int move(const string_list &arguments)
{
    if (arguments.at(0) == "start") {
        return editDocument([&](YAML::Node &root) { startMove(root, arguments.at(1), arguments.at(2)); });
    }
    if (arguments.at(0) == "back") {
        return editDocument([&](YAML::Node &root) { endMove(root, arguments.at(1)); });
    }
    throw error(error_kind::BadRequest, "move: expected 'start' or 'back' as the first argument");
}

int watch(const string_list &)
{
    std::string previousLine;
    while (true) {
        const json answer = json::parse(call("GET", "/operator/status").body);
        std::string line = "revision " + answer["revision"].dump();
        for (const json &item : answer["members"]) {
            line += ", " + item["instance"].get<std::string>() + " " + item["state"].get<std::string>();
        }
        for (const json &item : answer["moves"]) {
            line += ", " + item["service"].get<std::string>() + " to " + item["to"].get<std::string>() + " " + item["state"].get<std::string>() + " share "
                + item["share"].dump();
        }
        if (line != previousLine) {
            std::cout << formatTimestamp(systemNow()) << " " << line << std::endl;
            previousLine = line;
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

struct command
{
    std::size_t minArguments = 0; // after the command's name
    int (*run)(const string_list &) = nullptr;
};

const std::map<std::string, command> &commands()
{
    static const std::map<std::string, command> table = {
        {"validate", {1, validate}},
        {"schema", {0, schema}},
        {"hash-token", {0, hashStandardInput}},
        {"show", {0, show}},
        {"diff", {1, diff}},
        {"apply", {1, applyFile}},
        {"status", {0, status}},
        {"explain", {1, explain}},
        {"failure-domain", {2, failureDomain}},
        {"move", {2, move}},
        {"watch", {0, watch}},
    };
    return table;
}

} // namespace

int main(int argc, char **argv)
{
    startProgram(argc, argv, usage);
    const string_list arguments(argv + std::min(argc, 2), argv + argc);
    const auto found = argc > 1 ? commands().find(argv[1]) : commands().end();
    if (found == commands().end() || arguments.size() < found->second.minArguments) {
        std::cerr << "unknown command or missing argument; see chicoryctl --help\n";
        return exitUsage;
    }
    try {
        return found->second.run(arguments);
    } catch (const error &fault) {
        std::cerr << fault.detail() << "\n";
        return exitUsage;
    } catch (const std::out_of_range &) {
        std::cerr << "an argument is missing; see chicoryctl --help\n";
        return exitUsage;
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << "\n";
        return exitFailure;
    }
}
