// What a prompt is known by: the parts that several requests may share, such as instructions or a document, and the prompt as a whole, which
// callers may send again. Each has a number that is the same on every daemon.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryrouter {

// From the most shared to the narrowest: the shared parts in the order of the prompt, then the whole prompt. Empty: unknown.
using prompt_parts = std::vector<std::uint64_t>;

prompt_parts promptPartsOf(const std::vector<std::uint64_t> &allParts); // `allParts`: of the whole prompt in order; the last belongs to the request alone

std::string partName(std::uint64_t part);         // as in logs and stored records: lower-case hexadecimal, without leading zeros
std::string partNames(const prompt_parts &parts); // separated by spaces; at most maxNamedParts of them

inline constexpr std::size_t maxNamedParts = 16; // keeps a log line short

} // namespace chicoryrouter
