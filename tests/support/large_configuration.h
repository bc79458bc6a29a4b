// A configuration of many routes, with names as random as real ones.
#pragma once

#include "chicoryrouter/random.h"

#include <nlohmann/json.hpp>

#include <string>

namespace chicoryrouter::test {

inline std::string randomName(seeded_random &random, std::size_t letters)
{
    constexpr std::string_view alphabet = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string name;
    while (name.size() < letters) {
        name += alphabet[uniformBelow(random, alphabet.size())];
    }
    return name;
}

// `version` stands in its first field and changes one route; the others stay as they are.
inline nlohmann::json withRoutes(nlohmann::json configuration, std::size_t routes, std::uint64_t version)
{
    seeded_random random(11);
    configuration["Version"] = version;
    for (std::size_t i = 0; i < routes; ++i) {
        configuration["Routes"].push_back({{"Name", "r-" + randomName(random, 7)}, {"Host", randomName(random, 6) + ".example"},
            {"Prefix", "/" + randomName(random, 7) + "/"}, {"Kind", "idempotent"}, {"TimeoutMs", i == version % routes ? 2000 : 3000}, {"SloMs", 300},
            {"Priority", 2}, {"Service", "shop"}, {"MaxAttempts", 2}, {"Public", false}, {"Affinity", false}});
    }
    return configuration;
}

inline std::string configurationOfRoutes(std::size_t routes, std::uint64_t version)
{
    return withRoutes({{"Version", version}, {"Routes", nlohmann::json::array()}}, routes, version).dump();
}

} // namespace chicoryrouter::test
