// Shared by all programs: exit codes, version and help texts, and signal handling.
#pragma once

#include <gflags/gflags.h>

#include <csignal>
#include <functional>
#include <string>

namespace chicoryrouter {

// Exit codes of all programs.
inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1; // the operation failed; the message on standard error says why
inline constexpr int exitUsage = 2;   // the command line or a file named on it is invalid; nothing was done

inline void startProgram(int &argc, char **&argv, const std::string &usage)
{
    gflags::SetVersionString(CHICORY_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
}

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all threads that it starts later, so that only waitForStop() receives them.
// Call before any thread starts.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP); // reloads the settings
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Ignores the signals that a daemon has no use for and whose default action would end or stop the process: a write without a reader or over the
// file size limit fails by its error code. A handler that someone has installed stays.
inline void ignoreUnusedSignals()
{
    for (const int number : {SIGPIPE, SIGXFSZ, SIGTTOU, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT}) {
        struct sigaction current
        {
        };
        if (sigaction(number, nullptr, &current) == 0 && (current.sa_flags & SA_SIGINFO) == 0 && current.sa_handler == SIG_DFL) {
            std::signal(number, SIG_IGN);
        }
    }
}

// Whether a stop request waits to be taken.
inline bool isStopPending()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

// Waits until SIGTERM or SIGINT arrives. Calls `onSettingsChanged` for every SIGHUP in the meantime. sigwait() takes the lowest signal first,
// which is SIGHUP, so a stop request that is already there goes before the reload.
inline void waitForStop(const sigset_t &signals, const std::function<void()> &onSettingsChanged = {})
{
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&signals, &received);
        if (received == SIGHUP && onSettingsChanged && !isStopPending()) {
            onSettingsChanged();
        }
    }
}

} // namespace chicoryrouter
