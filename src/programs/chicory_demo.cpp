// Demo of the whole request path in one process: a simulated platform, two daemons and a caller on loopback. Start here to see the features.
#include "programs/program.h"

#include "chicoryrouter/error.h"
#include "shell/log.h"
#include "standin/demo.h"

#include <iostream>

DEFINE_string(log, "", "write the daemons' log lines to this file (default: no log)");
DEFINE_string(fault, "", "run the scene with this fault instead of the normal demo; 'all' runs every one");
DEFINE_bool(serve, false, "print the addresses of the deployment and keep it running until SIGTERM");

namespace {

bool runDemo()
{
    using namespace chicoryrouter;
    if (FLAGS_serve) {
        const sigset_t signals = blockStopSignals(); // only with --serve: the scenes end by themselves, and a signal may end them earlier
        serveDemo(std::cout, [&signals] { waitForStop(signals); });
        return true;
    }
    if (FLAGS_fault.empty()) {
        return runDemoScenarios(std::cout);
    }
    if (FLAGS_fault != "all") {
        return runFaultScenario(std::cout, FLAGS_fault);
    }
    bool succeeded = true;
    for (const std::string &name : demoFaults()) {
        succeeded = runFaultScenario(std::cout, name) && succeeded;
    }
    return succeeded;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    std::string names;
    for (const std::string &name : demoFaults()) {
        names += " " + name;
    }
    startProgram(argc, argv,
        "sends a streamed chat, a stock lookup and an order through two daemons on loopback.\n"
        "Faults for --fault:"
            + names + "\nExit code: 0 if every answer was complete and correct, 1 otherwise, 2 for a wrong command line.");
    if (!FLAGS_log.empty()) {
        startLog("info", FLAGS_log);
    }
    try {
        const bool succeeded = runDemo();
        stopLog();
        return succeeded ? exitSuccess : exitFailure;
    } catch (const error &fault) {
        std::cerr << fault.detail() << "\n";
        return exitUsage;
    }
}
