// Turns YAML into JSON values, so that one schema library checks both. Remembers the line of every key for error texts.
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

yaml_value readYaml(std::string_view text); // throws error(BadRequest) naming line and fault; plain scalars become booleans and numbers

} // namespace chicoryrouter::detail
