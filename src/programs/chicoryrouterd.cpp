// The daemon: reads its settings, serves until SIGTERM or SIGINT, then stops without cutting a request.
#include "programs/program.h"

#include "chicoryrouter/daemon.h"
#include "chicoryrouter/error.h"
#include "hosted_daemon.h"
#include "shell/log.h"

#include <iostream>

DEFINE_string(settings, "", "YAML file with this daemon's settings (examples/daemon.yaml shows every key)");
DEFINE_bool(check_settings, false, "only check the settings, then exit");
DEFINE_bool(check, false, "the same as --check_settings");
DEFINE_bool(list_events, false, "print the kinds of log lines as a Markdown page, then exit");

namespace {

// The settings say who and where this daemon is: a running one keeps what it started with, but for the log's level.
void reloadSettings()
{
    using namespace chicoryrouter;
    try {
        const settings reloaded = readSettingsFile(FLAGS_settings);
        setLogLevel(reloaded.logLevel);
        logEvent(log_event::SettingsRead, {{"changed", true}, {"why", "log level " + reloaded.logLevel}});
    } catch (const error &fault) {
        logEvent(log_event::SettingsRead, {{"changed", false}, {"why", fault.detail()}});
    }
}

} // namespace

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    const sigset_t signals = blockStopSignals(); // first of all: a signal that comes before would end the process
    startProgram(argc, argv,
        "serves callers of one entry instance.\n"
        "  chicoryrouterd --settings=FILE [--check-settings]\n"
        "SIGHUP: reads the settings again; the log's level changes at once, everything else at the next start.\n"
        "SIGTERM: takes no new work, finishes or hands over what is open, then exits.\n"
        "Exit code: 0 stopped as asked, 1 could not serve, 2 the settings are wrong.");
    if (FLAGS_list_events) {
        std::cout << logEventsDocument();
        return exitSuccess;
    }
    settings daemonSettings;
    try {
        daemonSettings = readSettingsFile(FLAGS_settings);
    } catch (const error &fault) {
        std::cerr << fault.detail() << "\n";
        return exitUsage;
    }
    if (FLAGS_check || FLAGS_check_settings) {
        return exitSuccess;
    }
    startLog(daemonSettings.logLevel, daemonSettings.logFile, daemonSettings.logLinesPerSecond);
    try {
        if (daemonSettings.hosted) {
            platform::hosted_daemon router(daemonSettings);
            waitForStop(signals, reloadSettings);
            router.stop();
        } else {
            chicoryrouter::daemon router(daemonSettings);
            waitForStop(signals, reloadSettings);
            router.stop();
        }
    } catch (const std::exception &fault) {
        std::cerr << "cannot serve: " << fault.what() << "\n";
        return exitFailure;
    }
    stopLog();
    return exitSuccess;
}
