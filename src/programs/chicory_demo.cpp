// The whole path in one process: platform stand-ins, two daemons and a caller on loopback. Start here to see every feature.
#include "programs/program.h"

#include "chicoryrouter/error.h"
#include "shell/log.h"
#include "standin/demo.h"

#include <iostream>

DEFINE_string(log, "", "write the daemons' log lines to this file (default: no log)");
DEFINE_string(fault, "", "play this fault instead, or 'all'");
DEFINE_bool(serve, false, "keep the deployment up until SIGTERM and print where it listens");

namespace {

bool runDemo()
{
    using namespace chicoryrouter;
    if (FLAGS_serve) {
        const sigset_t signals = blockStopSignals(); // only here: scenes end by themselves, and a signal ends them sooner
        serveDemo(std::cout, [&signals] { waitForStop(signals); });
        return true;
    }
    if (FLAGS_fault.empty()) {
        return playDemo(std::cout);
    }
    if (FLAGS_fault != "all") {
        return playFault(std::cout, FLAGS_fault);
    }
    bool succeeded = true;
    for (const std::string &name : demoFaults()) {
        succeeded = playFault(std::cout, name) && succeeded;
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
        "plays a streamed chat, a stock lookup and an order through two daemons on loopback.\n"
        "Faults for --fault:"
            + names + "\nExit code: 0 when every answer was whole and right, 1 otherwise, 2 wrong use.");
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
