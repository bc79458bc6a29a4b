// Standard input, output and error of a daemon: always open.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

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

} // namespace chicoryrouter
