// The whole path in one process: platform stand-ins, two daemons and a caller on loopback. Start here to see every feature.
#include "programs/program.h"
#include "standin/demo.h"

#include "shell/log.h"

#include <iostream>

DEFINE_string(log, "", "write the daemons' log lines to this file (default: no log)");

int main(int argc, char **argv)
{
    chicoryrouter::startProgram(argc, argv,
        "plays a streamed chat, a stock lookup and an order through two daemons on loopback.\n"
        "Exit code: 0 when every answer was whole and right, 1 otherwise.");
    if (!FLAGS_log.empty()) {
        chicoryrouter::startLog("info", FLAGS_log);
    }
    const bool good = chicoryrouter::playDemo(std::cout);
    chicoryrouter::stopLog();
    return good ? chicoryrouter::exitGood : chicoryrouter::exitFailed;
}
