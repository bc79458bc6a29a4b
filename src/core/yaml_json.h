// Converts YAML to JSON values, so that one JSON schema library validates both. Records the line of every key for error messages.
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>

namespace chicoryrouter::detail {

struct yaml_value
{
    nlohmann::json json;
    std::map<std::string, int> lines; // JSON pointer of each value -> line in the text, from 1
};

yaml_value readYaml(
    std::string_view text); // throws error(BadRequest) with line and cause; unquoted scalars become integers, reals or booleans where they parse as such

} // namespace chicoryrouter::detail
