// The parts of a prompt that several requests may share, such as instructions or a document. Each has a number that is the same on every daemon.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryrouter {

using prompt_parts = std::vector<std::uint64_t>; // in the order of the prompt, without the part that belongs to the request alone

std::string partName(std::uint64_t part);         // as in logs and stored records: lower-case hexadecimal, without leading zeros
std::string partNames(const prompt_parts &parts); // separated by spaces; at most maxNamedParts of them

inline constexpr std::size_t maxNamedParts = 16; // keeps a log line short

} // namespace chicoryrouter
