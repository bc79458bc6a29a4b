// The daemon: reads its settings, serves until SIGTERM or SIGINT, then drains the open requests and exits.
#include "programs/program.h"
#include "programs/standard_descriptors.h"

#include "chicoryrouter/daemon.h"
#include "chicoryrouter/error.h"
#include "hosted_daemon.h"
#include "shell/daemon_ports.h"
#include "shell/log.h"
#include "shell/server_stop.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <iostream>
#include <thread>

DEFINE_string(settings, "", "YAML file with this daemon's settings (examples/daemon.yaml shows every key)");
DEFINE_bool(check_settings, false, "check the settings file, then exit");
DEFINE_bool(check, false, "the same as --check_settings");
DEFINE_bool(list_events, false, "print the table of log events as a Markdown page, then exit");

namespace {

// Runs before the other static objects: one of them may open a file, which would take the number of a closed standard descriptor.
[[gnu::constructor(101)]] void prepareStandardDescriptors()
{
    chicoryrouter::openClosedStandardDescriptors();
}

// Reads the settings file again, but applies only the log level: the other settings define the daemon's identity and addresses, which stay
// as they were at the start.
void reloadSettings()
{
    using namespace chicoryrouter;
    try {
        const settings reloaded = readSettingsFile(FLAGS_settings);
        setLogLevel(reloaded.logLevel);
        logEvent(log_event::SettingsRead, {{"changed", true}, {"why", "log level " + reloaded.logLevel}});
    } catch (const error &fault) {
        logEvent(log_event::SettingsRead, {{"changed", false}, {"why", fault.detail()}});
    } catch (const std::exception &fault) { // out of memory, for example
        logEvent(log_event::SettingsRead, {{"changed", false}, {"why", fault.what()}});
    }
}

// Runs before the constructors of this program and its libraries: from here on a signal waits for waitForStop() and doesn't end the process.
// Before this, in exec and in the dynamic linker, no program can change what a signal does.
void blockEarly(int /*argc*/, char ** /*argv*/, char ** /*environment*/)
{
    chicoryrouter::blockStopSignals();
}

__attribute__((section(".preinit_array"), used)) void (*const firstStep)(int, char **, char **) = blockEarly;

// Ends the log, then the program with this exit code.
int endProgram(int exitCode)
{
    if (!chicoryrouter::stopLog()) {
        std::_Exit(exitCode);
    }
    return exitCode;
}

// SIGTERM or SIGINT arrived while the start waited.
class start_stopped : public std::exception
{
};

// Waits until `until`, and handles the signals that arrive before.
void pauseStart(const sigset_t &signals, chicoryrouter::time_point until)
{
    using namespace std::chrono;
    const nanoseconds left = std::max<nanoseconds>(until - chicoryrouter::systemNow(), nanoseconds(0));
    const timespec span = {duration_cast<seconds>(left).count(), (left % seconds(1)).count()};
    const int received = sigtimedwait(&signals, nullptr, &span);
    if (received == SIGHUP) {
        reloadSettings();
    } else if (received > 0) {
        throw start_stopped();
    } else if (errno != EAGAIN && errno != EINTR) { // the call isn't available
        std::this_thread::sleep_for(left);
        if (chicoryrouter::isStopPending()) {
            throw start_stopped();
        }
    }
}

template<typename Daemon>
void serve(const chicoryrouter::settings &own, const sigset_t &signals)
{
    using namespace chicoryrouter;
    const auto pause = [&signals](time_point until) {
        pauseStart(signals, until);
    };
    Daemon router(own, takePorts(own, systemNow() + portWaitLimit, pause));
    waitForStop(signals, reloadSettings);
    router.stop();
}

int fail(const std::string &why, int exitCode)
{
    using namespace chicoryrouter;
    logEvent(log_event::DaemonFailed, {{"why", why}});
    writeToStandardError(why + "\n");
    return endProgram(exitCode);
}

int run(const chicoryrouter::settings &own, const sigset_t &signals)
{
    using namespace chicoryrouter;
    try {
        startLog(own.logLevel, own.logFile, own.logLinesPerSecond);
        if (own.hosted) {
            serve<platform::hosted_daemon>(own, signals);
        } else {
            serve<chicoryrouter::daemon>(own, signals);
        }
    } catch (const start_stopped &) {
        logDaemonStopped(own.instance, {});
    } catch (const std::exception &fault) {
        return fail(std::string("cannot serve: ") + fault.what(), exitFailure);
    }
    return endProgram(exitSuccess);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace chicoryrouter;
    const sigset_t signals = blockStopSignals(); // again, as a library's constructor may have changed the mask since blockEarly()
    ignoreUnusedSignals();
    startProgram(argc, argv,
        "request router daemon of one entry instance.\n"
        "  chicoryrouterd --settings=FILE [--check-settings]\n"
        "SIGHUP: reads the settings again; the log level changes at once, all other settings at the next start.\n"
        "SIGTERM: accepts no new requests, finishes the open ones or hands them over to peers, then exits.\n"
        "Exit code: 0 stopped by a signal, 1 could not serve, 2 the settings are invalid.");
    if (FLAGS_list_events) {
        std::cout << logEventsDocument();
        return exitSuccess;
    }
    const bool checksOnly = FLAGS_check || FLAGS_check_settings;
    settings daemonSettings;
    try {
        daemonSettings = readSettingsFile(FLAGS_settings);
    } catch (const std::exception &fault) {
        if (!checksOnly) {
            startLog(daemonSettings.logLevel, daemonSettings.logFile, daemonSettings.logLinesPerSecond);
        }
        const auto *invalid = dynamic_cast<const error *>(&fault);
        return fail(invalid != nullptr ? invalid->detail() : FLAGS_settings + ": " + fault.what(), exitUsage);
    }
    return checksOnly ? exitSuccess : run(daemonSettings, signals);
}
