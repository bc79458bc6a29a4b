// Parses and validates a daemon's settings.
#include "chicoryrouter/settings.h"

#include "chicoryrouter/error.h"
#include "chicoryrouter/units.h"
#include "core/yaml_json.h"

#include <arpa/inet.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace chicoryrouter {

namespace {

constexpr std::uintmax_t maxSettingsBytes = 1024 * 1024;

using nlohmann::json;

// Reads values by JSON pointer and records which keys were read. failOnUnknown() then rejects every key that was never read.
class settings_reader
{
public:
    settings_reader(const detail::yaml_value &root, std::string_view fileName)
        : m_root(root)
        , m_file(fileName)
    {
        if (!root.json.is_object()) {
            fail("", "expected a map of settings");
        }
    }

    [[noreturn]] void fail(const std::string &pointer, const std::string &expected) const
    {
        const auto line = m_root.lines.find(pointer);
        const std::string place = m_file + ":" + std::to_string(line == m_root.lines.end() ? 1 : line->second);
        throw error(error_kind::BadRequest, place + ": " + keyName(pointer) + ": " + expected);
    }

    std::string requiredText(const std::string &pointer, const std::string &expected)
    {
        const json *value = find(pointer);
        if (value == nullptr) {
            fail(pointer, "missing; expected " + expected);
        }
        if (!value->is_string() || value->get<std::string>().empty()) {
            fail(pointer, "expected " + expected);
        }
        return *value;
    }

    std::string textOr(const std::string &pointer, const std::string &fallback, const std::string &expected)
    {
        return find(pointer) == nullptr ? fallback : requiredText(pointer, expected);
    }

    // The text, with `yes` or `no` in place of a boolean; empty if it is neither a text nor a boolean.
    std::string textOrBoolean(const std::string &pointer, const std::string &fallback, const std::string &yes, const std::string &no)
    {
        const json *value = find(pointer);
        if (value == nullptr) {
            return fallback;
        }
        if (value->is_boolean()) {
            return value->get<bool>() ? yes : no;
        }
        return value->is_string() ? value->get<std::string>() : std::string();
    }

    address requiredAddress(const std::string &pointer)
    {
        const std::string expected = "an IP number and port such as 10.0.0.1:8080 or [fd00::1]:8080";
        const std::string value = requiredText(pointer, expected);
        const auto colon = value.rfind(':');
        if (colon == std::string::npos) {
            fail(pointer, "expected " + expected);
        }
        address result;
        result.ip = value.substr(0, colon);
        if (result.ip.size() > 2 && result.ip.front() == '[' && result.ip.back() == ']') {
            result.ip = result.ip.substr(1, result.ip.size() - 2);
        }
        std::array<unsigned char, sizeof(in6_addr)> parsed{};
        const bool known = inet_pton(AF_INET, result.ip.c_str(), parsed.data()) == 1 || inet_pton(AF_INET6, result.ip.c_str(), parsed.data()) == 1;
        const std::string port = value.substr(colon + 1);
        const bool digits = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
        const long number = digits ? std::stol(port) : -1;
        if (!known || number < 1 || number > UINT16_MAX) {
            fail(pointer, "expected " + expected);
        }
        result.port = static_cast<std::uint16_t>(number);
        return result;
    }

    address optionalAddress(const std::string &pointer) { return find(pointer) == nullptr ? address{} : requiredAddress(pointer); }

    duration durationOr(const std::string &pointer, duration fallback, duration least, duration most)
    {
        const json *value = find(pointer);
        if (value == nullptr) {
            return fallback;
        }
        const std::string expected = "expected a time with a unit from " + toText(least) + " to " + toText(most) + ", such as 250ms";
        const std::optional<duration> parsed = value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
        if (!parsed || *parsed < least || *parsed > most) {
            fail(pointer, expected);
        }
        return *parsed;
    }

    std::vector<std::pair<std::string, std::string>> stringMap(const std::string &pointer, const std::string &expected)
    {
        std::vector<std::pair<std::string, std::string>> result;
        const json *value = find(pointer);
        if (value == nullptr) {
            return result;
        }
        if (!value->is_object()) {
            fail(pointer, "expected " + expected);
        }
        for (const auto &[name, region] : value->items()) {
            if (!region.is_string()) {
                fail(pointer + "/" + name, "expected the name of a region");
            }
            m_readPointers.insert(pointer + "/" + name);
            result.emplace_back(name, region.get<std::string>());
        }
        return result;
    }

    unsigned countOr(const std::string &pointer, unsigned fallback, unsigned least, unsigned most)
    {
        const json *value = find(pointer);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < least || value->get<std::int64_t>() > most) {
            fail(pointer, "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        }
        return value->get<unsigned>();
    }

    // A count that may be stated as a calculated number: a fraction is rounded down, larger numbers are cut to `most`.
    unsigned wholeOr(const std::string &pointer, unsigned fallback, unsigned most)
    {
        const json *value = find(pointer);
        if (value == nullptr || value->is_null()) {
            return fallback;
        }
        const double number = value->is_number() ? value->get<double>() : -1.0;
        if (!(number >= 0.0)) { // also refuses what is not a number
            fail(pointer, "expected a number of at least 0");
        }
        return static_cast<unsigned>(std::min(number, static_cast<double>(most)));
    }

    void failOnUnknown() const { failOnUnknownIn(m_root.json, ""); }

private:
    static std::string keyName(const std::string &pointer)
    {
        std::string name = pointer.empty() ? "settings" : pointer.substr(1);
        for (char &letter : name) {
            letter = letter == '/' ? '.' : letter;
        }
        return name;
    }

    const json *find(const std::string &pointer)
    {
        m_readPointers.insert(pointer);
        const json::json_pointer place(pointer);
        return m_root.json.contains(place) ? &m_root.json.at(place) : nullptr;
    }

    void failOnUnknownIn(const json &object, const std::string &prefix) const
    {
        for (const auto &[key, value] : object.items()) {
            const std::string pointer = prefix + "/" + key;
            const bool group = pointer == "/platform" || pointer == "/log" || pointer == "/answers";
            if (group && value.is_object()) {
                failOnUnknownIn(value, pointer);
            } else if (m_readPointers.count(pointer) == 0) {
                fail(pointer, "unknown key");
            }
        }
    }

    const detail::yaml_value &m_root;
    std::string m_file;
    std::set<std::string> m_readPointers;
};

load_control_mode readLoadControl(settings_reader &reader)
{
    // YAML reads a plain on or off as a boolean.
    const std::string text = reader.textOrBoolean("/load_control", "auto", "on", "off");
    if (text != "auto" && text != "on" && text != "off") {
        reader.fail("/load_control", "expected auto, on or off");
    }
    return text == "auto" ? load_control_mode::Auto : (text == "on" ? load_control_mode::On : load_control_mode::Off);
}

} // namespace

settings parseSettings(std::string_view yaml, std::string_view fileName)
{
    using namespace std::chrono_literals;
    detail::yaml_value root;
    try {
        root = detail::readYaml(yaml);
    } catch (const error &fault) {
        throw error(error_kind::BadRequest, std::string(fileName) + ": " + fault.detail());
    }
    settings_reader reader(root, fileName);
    settings result;
    result.instance = reader.requiredText("/instance", "this entry instance's name");
    result.failureDomain = reader.requiredText("/failure_domain", "the name of a failure domain");
    result.gateway = reader.requiredAddress("/gateway");
    result.peer = reader.requiredAddress("/peer");
    result.keyValue = reader.requiredAddress("/platform/key_value");
    const std::string form = reader.textOr("/platform/form", "standard", "standard or hosted");
    if (form != "standard" && form != "hosted") {
        reader.fail("/platform/form", "expected standard or hosted");
    }
    result.hosted = form == "hosted";
    result.instanceList = result.hosted ? address{} : reader.requiredAddress("/platform/instance_list");
    result.readiness = reader.optionalAddress("/readiness");
    result.metrics = reader.optionalAddress("/metrics");
    result.region = reader.textOr("/region", result.region, "the name of a region");
    result.domains = reader.stringMap("/failure_domains", "a map from the name of each failure domain to its region");
    result.documentWithin = reader.durationOr("/platform/document_within", result.documentWithin, 100ms, 10min);
    result.leavingWithin = reader.durationOr("/platform/leaving_within", result.leavingWithin, 100ms, 10min);
    result.leaseTerm = reader.durationOr("/platform/lease_term", result.leaseTerm, 1s, 60s);
    result.usageWindow = reader.durationOr("/platform/usage_window", result.usageWindow, 1s, 1h);
    result.accountWindow = reader.durationOr("/platform/account_window", result.accountWindow, 1s, 10min);
    result.retryReserve = reader.wholeOr("/platform/retry_reserve", result.retryReserve, 100'000);
    result.cloud = reader.optionalAddress("/platform/cloud");
    result.loadControl = readLoadControl(reader);
    result.peerKey = reader.requiredText("/peer_key", "a secret of at least 16 characters");
    result.operatorTokenHash = reader.requiredText("/operator_token_hash", "the SHA-256 of the operators' token in hex");
    result.threads = reader.countOr("/threads", result.threads, 1, 64);
    result.pollInterval = reader.durationOr("/poll_interval", result.pollInterval, 50ms, 60s);
    result.gossipInterval = reader.durationOr("/gossip_interval", result.gossipInterval, 50ms, 10s);
    result.stopWithin = reader.durationOr("/stop_within", result.stopWithin, 0s, 1h);
    result.handOverAfter = reader.durationOr("/hand_over_after", result.handOverAfter, 0s, 1h);
    result.answers.pieces = reader.countOr("/answers/max_events", result.answers.pieces, 1, UINT32_MAX);
    result.answers.bytes = reader.countOr("/answers/max_bytes", static_cast<unsigned>(result.answers.bytes), 1024, 1024 * 1024 * 1024);
    result.logLevel = reader.textOr("/log/level", result.logLevel, "error, warning, info or debug");
    result.logLinesPerSecond = reader.countOr("/log/lines_per_second", result.logLinesPerSecond, 1, 100'000);
    result.logFile = reader.textOr("/log/file", result.logFile, "a file name");
    reader.failOnUnknown();

    const std::set<std::string> levels = {"error", "warning", "info", "debug"};
    if (levels.count(result.logLevel) == 0) {
        reader.fail("/log/level", "expected error, warning, info or debug");
    }
    if (result.peerKey.size() < 16) {
        reader.fail("/peer_key", "expected a secret of at least 16 characters");
    }
    if (result.operatorTokenHash.size() != 64 || result.operatorTokenHash.find_first_not_of("0123456789abcdef") != std::string::npos) {
        reader.fail("/operator_token_hash", "expected 64 lower-case hex digits");
    }
    if (result.gateway == result.peer) {
        reader.fail("/peer", "clashes with 'gateway'; expected another port");
    }
    return result;
}

settings readSettingsFile(const std::string &path)
{
    std::error_code code;
    if (std::filesystem::exists(path, code) && !std::filesystem::is_regular_file(path, code)) { // opening a pipe could block forever
        throw error(error_kind::BadRequest, path + ": expected a regular file");
    }
    const std::ifstream file(path);
    const std::uintmax_t size = std::filesystem::file_size(path, code);
    if (!file || code) {
        throw error(error_kind::BadRequest, path + ": cannot be read");
    }
    if (size > maxSettingsBytes) {
        throw error(error_kind::BadRequest, path + ": expected at most " + std::to_string(maxSettingsBytes) + " bytes, found " + std::to_string(size));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace chicoryrouter
