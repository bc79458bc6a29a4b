// The daemon: reads its settings, serves until SIGTERM or SIGINT, then stops without cutting a request.
#include "programs/program.h"

#include "chicoryrouter/daemon.h"
#include "chicoryrouter/error.h"
#include "hosted_daemon.h"
#include "shell/log.h"

#include <iostream>

DEFINE_string(settings, "", "YAML file with this daemon's settings (examples/daemon.yaml shows every key)");
DEFINE_bool(check, false, "only check the settings, then exit");

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    startProgram(argc, argv,
        "serves callers of one entry instance.\n"
        "  chicoryrouterd --settings=FILE [--check]\n"
        "SIGTERM: takes no new work, finishes or hands over what is open, then exits.\n"
        "Exit code: 0 stopped as asked, 1 could not serve, 2 the settings are wrong.");
    const sigset_t signals = blockStopSignals();
    settings own;
    try {
        own = readSettingsFile(FLAGS_settings);
    } catch (const error &fault) {
        std::cerr << fault.detail() << "\n";
        return exitUsage;
    }
    if (FLAGS_check) {
        return exitGood;
    }
    startLog(own.logLevel, own.logFile);
    try {
        if (own.hosted) {
            platform::hosted_daemon router(own);
            waitForStop(signals);
            router.stop();
        } else {
            chicoryrouter::daemon router(own);
            waitForStop(signals);
            router.stop();
        }
    } catch (const std::exception &fault) {
        std::cerr << "cannot serve: " << fault.what() << "\n";
        return exitFailed;
    }
    stopLog();
    return exitGood;
}
