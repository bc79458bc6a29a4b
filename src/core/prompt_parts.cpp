// Names of prompt parts.
#include "chicoryrouter/prompt_parts.h"

#include <array>
#include <charconv>

namespace chicoryrouter {

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
