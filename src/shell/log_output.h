// The descriptor that the log is written to: standard output or a file.
//
// The descriptor may be shared with other processes, so its flags stay as they are. A reader that is slow or has stopped delays only the thread
// that calls write(). Errors (no reader, a full disk, the limit on file sizes) cost the lines that could not be written, and nothing else; the
// process must ignore SIGPIPE and SIGXFSZ.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chicoryrouter {

class log_output
{
public:
    explicit log_output(const std::string &file); // an empty name, or a file that can't be opened: standard output

    // Writes lines that each end in a newline. Waits as long as the reader is slow. Returns how many lines were lost.
    std::size_t write(std::string_view lines);

private:
    std::size_t writeBytes(std::string_view text);
    void waitUntilWritable() const;

    int m_descriptor;         // never closed: the log lives as long as the process
    bool m_mayBlock;          // false for a regular file
    std::string m_unfinished; // the rest of a line whose beginning is written; goes out before any other line
};

} // namespace chicoryrouter
