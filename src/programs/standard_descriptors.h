// Standard input, output and error of a daemon: always open, and never a reason to hang.
#pragma once

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <string_view>

namespace chicoryrouter {

// Opens /dev/null in the place of each closed one, so that no file or socket takes its number. Call before anything else opens a descriptor.
inline void openClosedStandardDescriptors()
{
    for (const int number : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        const bool isClosed = fcntl(number, F_GETFD) < 0 && errno == EBADF;
        if (isClosed) {
            open("/dev/null", O_RDWR); // NOLINT: takes the lowest free number, this one
        }
    }
}

// Writes a message, cut to what a pipe takes at once. Gives up when nobody reads a full pipe.
inline void writeToStandardError(std::string_view text)
{
    constexpr std::chrono::milliseconds timeout{500};
    pollfd item{STDERR_FILENO, POLLOUT, 0};
    if (poll(&item, 1, static_cast<int>(timeout.count())) == 0) {
        return;
    }
    [[maybe_unused]] const ssize_t ignored = write(STDERR_FILENO, text.data(), text.substr(0, PIPE_BUF).size());
}

} // namespace chicoryrouter
