// The benchmarks' entry point: `chicory-bench NAME`.
#include "programs/program.h"

#include <iostream>

int main(int argc, char **argv)
{
    chicoryrouter::startProgram(argc, argv, "NAME\nNo benchmark yet.");
    std::cerr << "see chicory-bench --help\n";
    return chicoryrouter::exitUsage;
}
