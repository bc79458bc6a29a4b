// The benchmarks' entry point: `chicory-bench NAME`.
#include "programs/program.h"

#include "benchmarks.h"

#include <iostream>
#include <map>

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    const std::map<std::string, void (*)()> benchmarks
        = {{"routing", bench::routing}, {"moves", bench::moves}, {"slopes", bench::slopes}, {"streams", bench::streams}, {"plain", bench::plain},
            {"firsttoken", bench::firsttoken}, {"hundred", bench::hundred}, {"costs", bench::costs}, {"report", bench::report}};
    std::string usage = "NAME\nMeasures on this machine, with stand-ins on loopback or under virtual time. Names:";
    for (const auto &[name, run] : benchmarks) {
        usage += " " + name;
    }
    startProgram(argc, argv, usage + "\nExit code: 0 done, 1 failed, 2 wrong use.");
    const auto found = argc == 2 ? benchmarks.find(argv[1]) : benchmarks.end();
    if (found == benchmarks.end()) {
        std::cerr << "see chicory-bench --help\n";
        return exitUsage;
    }
    try {
        found->second();
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << "\n";
        return exitFailure;
    }
    return exitSuccess;
}
