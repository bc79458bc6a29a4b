// Converts YAML to JSON with yaml-cpp.
#include "core/yaml_json.h"

#include "chicoryrouter/error.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <mutex>

namespace chicoryrouter::detail {

namespace {

constexpr int maxDepth = 32;
constexpr std::size_t minNodeLimit = 10'000;

// A node takes at least one byte of the text, unless aliases repeat it: those can multiply a short text without bound.
struct conversion
{
    std::map<std::string, int> &lines;
    std::size_t nodesLeft = 0;
};

nlohmann::json scalarToJson(const YAML::Node &node)
{
    const bool quoted = node.Tag() == "!";
    if (quoted) {
        return node.Scalar();
    }
    std::int64_t integer = 0;
    if (YAML::convert<std::int64_t>::decode(node, integer)) {
        return integer;
    }
    double real = 0.0;
    if (YAML::convert<double>::decode(node, real)) {
        return real;
    }
    bool flag = false;
    if (YAML::convert<bool>::decode(node, flag)) {
        return flag;
    }
    return node.Scalar();
}

[[noreturn]] void failAt(const YAML::Node &node, const std::string &text)
{
    throw error(error_kind::BadRequest, "line " + std::to_string(node.Mark().line + 1) + ": " + text);
}

nlohmann::json nodeToJson(const YAML::Node &node, const std::string &pointer, int depth, conversion &state)
{
    if (depth > maxDepth) {
        failAt(node, "nested too deeply");
    }
    if (state.nodesLeft == 0) {
        failAt(node, "aliases repeat too much of the text");
    }
    --state.nodesLeft;
    state.lines[pointer] = node.Mark().line + 1;
    if (node.IsSequence()) {
        auto array = nlohmann::json::array();
        for (std::size_t i = 0; i < node.size(); ++i) {
            array.push_back(nodeToJson(node[i], pointer + "/" + std::to_string(i), depth + 1, state));
        }
        return array;
    }
    if (node.IsMap()) {
        auto object = nlohmann::json::object();
        for (const auto &entry : node) {
            const auto key = entry.first.as<std::string>();
            if (object.contains(key)) {
                failAt(entry.first, "key '" + key + "' is listed twice");
            }
            object[key] = nodeToJson(entry.second, pointer + "/" + key, depth + 1, state);
            state.lines[pointer + "/" + key] = entry.first.Mark().line + 1;
        }
        return object;
    }
    return node.IsScalar() ? scalarToJson(node) : nlohmann::json();
}

} // namespace

yaml_value readYaml(std::string_view text)
{
    // yaml-cpp initialises internal tables on first use without a lock. YAML is parsed rarely, so a mutex around all parsing costs nothing.
    static std::mutex parserMutex;
    const std::lock_guard guard(parserMutex);
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        yaml_value value;
        conversion state{value.lines, std::max(text.size(), minNodeLimit)};
        value.json = nodeToJson(root, "", 0, state);
        return value;
    } catch (const YAML::Exception &fault) {
        throw error(error_kind::BadRequest, "line " + std::to_string(fault.mark.line + 1) + ": " + fault.msg);
    }
}

} // namespace chicoryrouter::detail
