// Writes in pieces that a writable pipe takes without blocking.
#include "shell/log_output.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace chicoryrouter {

namespace {

constexpr mode_t logFileMode = 0644;

int openLog(const std::string &file)
{
    if (file.empty()) {
        return STDOUT_FILENO;
    }
    std::error_code ignored;
    std::filesystem::create_directories(std::filesystem::path(file).parent_path(), ignored);
    // Without O_NONBLOCK, opening a named pipe would wait for its reader.
    const int descriptor = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | O_NONBLOCK, logFileMode);
    return descriptor >= 0 ? descriptor : STDOUT_FILENO;
}

bool isRegularFile(int descriptor)
{
    struct stat status
    {
    };
    return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

// As many whole lines as a pipe takes at once, or the beginning of a line that is longer.
std::string_view nextPiece(std::string_view text)
{
    if (text.size() <= PIPE_BUF) {
        return text;
    }
    const std::size_t lastLineEnd = text.rfind('\n', PIPE_BUF - 1);
    return text.substr(0, lastLineEnd == std::string_view::npos ? PIPE_BUF : lastLineEnd + 1);
}

std::size_t countLines(std::string_view text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

log_output::log_output(const std::string &file)
    : m_descriptor(openLog(file))
    , m_mayBlock(!isRegularFile(m_descriptor))
{
}

std::size_t log_output::write(std::string_view lines)
{
    m_unfinished.erase(0, writeBytes(m_unfinished));
    if (!m_unfinished.empty()) {
        return countLines(lines);
    }
    const std::size_t written = writeBytes(lines);
    std::string_view rest = lines.substr(written);
    const bool inLine = written > 0 && lines[written - 1] != '\n';
    if (inLine) {
        const std::size_t lineSize = rest.find('\n') + 1;
        m_unfinished = rest.substr(0, lineSize);
        rest.remove_prefix(lineSize);
    }
    return countLines(rest);
}

// Returns the number of bytes written: all of them, unless there was an error.
std::size_t log_output::writeBytes(std::string_view text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        std::string_view piece = text.substr(written);
        if (m_mayBlock) {
            piece = nextPiece(piece);
            waitUntilWritable();
        }
        const ssize_t result = ::write(m_descriptor, piece.data(), piece.size());
        if (result > 0) {
            written += static_cast<std::size_t>(result);
            continue;
        }
        const bool mayRetry = result < 0 && (errno == EINTR || (errno == EAGAIN && m_mayBlock));
        if (!mayRetry) {
            break;
        }
    }
    return written;
}

void log_output::waitUntilWritable() const
{
    constexpr int noTimeout = -1;
    pollfd item{m_descriptor, POLLOUT, 0};
    while (poll(&item, 1, noTimeout) < 0 && errno == EINTR) {
    }
}

} // namespace chicoryrouter
