// What the thin programs share: version and help texts, and waiting for the signal to stop.
#pragma once

#include <gflags/gflags.h>

#include <csignal>
#include <functional>
#include <string>

namespace chicoryrouter {

// Exit codes of all programs.
inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1; // it did not work out; the message says why
inline constexpr int exitUsage = 2;  // the command line or a file given on it is wrong; nothing was done

inline void startProgram(int &argc, char **&argv, const std::string &usage)
{
    gflags::SetVersionString(CHICORY_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
}

// Blocks SIGTERM and SIGINT for all threads started afterwards, so that waitForStop() gets them. Call before any thread starts.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP); // settings changed
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

inline void waitForStop(const sigset_t &signals, const std::function<void()> &onSettingsChanged = {})
{
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&signals, &received);
        if (received == SIGHUP && onSettingsChanged) {
            onSettingsChanged();
        }
    }
}

} // namespace chicoryrouter
