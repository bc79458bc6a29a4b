// Numbers and names of prompt parts.
#include "chicoryrouter/prompt_parts.h"

#include "chicoryrouter/hash.h"

#include <array>
#include <charconv>

namespace chicoryrouter {

prompt_parts promptPartsOf(const std::vector<std::uint64_t> &allParts)
{
    if (allParts.empty()) {
        return {};
    }
    std::string whole;
    for (const std::uint64_t part : allParts) {
        whole += partName(part) + ",";
    }
    prompt_parts parts(allParts.begin(), allParts.end() - 1);
    parts.push_back(hashBytes(whole));
    return parts;
}

std::string partName(std::uint64_t part)
{
    constexpr int hexadecimal = 16;
    std::array<char, sizeof(part) * 2> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), part, hexadecimal).ptr;
    return {text.data(), end};
}

std::string partNames(const prompt_parts &parts)
{
    std::string names;
    for (std::size_t i = 0; i < parts.size() && i < maxNamedParts; ++i) {
        names += (i == 0 ? "" : " ") + partName(parts[i]);
    }
    return names;
}

} // namespace chicoryrouter
