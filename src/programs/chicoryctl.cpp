// The operators' command line.
#include "programs/program.h"

#include "chicoryrouter/document.h"
#include "chicoryrouter/error.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw chicoryrouter::error(chicoryrouter::error_kind::BadRequest, path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    startProgram(argc, argv, "validate FILE | schema\nExit code: 0 good, 1 failed, 2 wrong use or invalid document.");
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        if (words.size() == 2 && words[0] == "validate") {
            parseDocument(readFile(words[1]));
            std::cout << words[1] << ": valid\n";
            return exitGood;
        }
        if (words.size() == 1 && words[0] == "schema") {
            std::cout << documentSchema();
            return exitGood;
        }
    } catch (const error &fault) {
        std::cerr << fault.detail() << "\n";
        return exitUsage;
    }
    std::cerr << "see chicoryctl --help\n";
    return exitUsage;
}
