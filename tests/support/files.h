// Reading a file in tests.
#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace chicoryrouter::test {

inline std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace chicoryrouter::test
